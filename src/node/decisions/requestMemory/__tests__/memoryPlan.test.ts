import { test } from 'node:test';
import { expect } from 'earl';
import { planMemory } from '../memoryPlan.ts';

const MEBIBYTE = 1024 * 1024;
const MAX_BODY_BYTES = 32 * MEBIBYTE;

// Guards against a VM on which a request within the limits is never served, and against a plan beyond the VM's memory.
test('a request of the largest size fits on every VM, and the plan fits on a VM of 250 MB', () => {
  for (const memoryMb of [160, 250, 512, 602]) {
    const plan = planMemory({ memoryMb, fileDescriptors: 4096 }, MAX_BODY_BYTES);
    expect(plan.largeUploadBytes >= MAX_BODY_BYTES).toEqual(true);
    const heldBytes = plan.largeUploadBytes + plan.smallUploadBytes + plan.responseBytes;
    if (memoryMb >= 250) expect(heldBytes < (memoryMb - 112) * MEBIBYTE).toEqual(true);
  }
});

// Guards against connections of callers that leave no descriptors for workers, nodes and the platform.
test('descriptors are left for workers, peers and the platform', () => {
  for (const fileDescriptors of [256, 2212, 10_250]) {
    const plan = planMemory({ memoryMb: 250, fileDescriptors }, MAX_BODY_BYTES);
    const used = plan.callerDescriptors + plan.peerDescriptors + plan.statusDescriptors;
    expect(fileDescriptors - used >= 48).toEqual(true);
  }
});
