import { test } from 'node:test';
import { expect } from 'earl';
import { SoakControl } from '../soakControl.ts';

/** Sends a usage report. Returns the status. */
const report = async (
  { address }: SoakControl,
  holder: string,
  term: number,
  window: number,
  count: number,
): Promise<number> => {
  const response = await fetch(`http://${address}/usage`, {
    method: 'POST',
    headers: { 'x-duty-holder': holder, 'x-fencing-token': String(term) },
    body: JSON.stringify({ window, counts: { account: count } }),
  });
  return response.status;
};

const startControl = async (): Promise<SoakControl> => {
  const control = new SoakControl();
  control.nodes = { isCalm: true };
  await control.listen();
  return control;
};

// Guards against a soak that overlooks what two holders of a duty do at the same time.
test('lower terms, terms of two holders and holders that take turns are found', async () => {
  await using control = await startControl();
  await report(control, 'a', 1, 1, 5);
  await report(control, 'b', 2, 2, 5);
  expect(control.violations).toEqual([]);
  expect(await report(control, 'a', 1, 3, 5)).toEqual(409);
  await report(control, 'c', 2, 4, 5);
  await report(control, 'a', 3, 5, 5);
  expect(control.violations).toEqual([
    'a called with term 1 after 2',
    'term 2 of b and c',
    'a takes turns with c',
  ]);
});

// Guards against a soak that overlooks reports that differ, that nobody needs, or that claim more than ran.
test('contradictory, repeated and excessive reports are found', async () => {
  await using control = await startControl();
  await report(control, 'a', 1, 1, 5);
  await report(control, 'a', 1, 1, 6);
  control.checkCounts(() => 4);
  expect(control.violations).toEqual([
    'a repeated window 1, which had been accepted',
    'window 1: [["account",6]] after [["account",5]]',
    '5 requests of account reported, 4 ran',
  ]);
});
