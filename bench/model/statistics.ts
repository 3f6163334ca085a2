import type { Random } from '../../src/shared/random.ts';

/** Returns a quantile of unsorted values; 0 if there are none. */
export const quantile = (values: readonly number[], fraction: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;
};

export const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/** Sample standard deviation. */
export const standardDeviation = (values: readonly number[]): number => {
  const average = mean(values);
  const squares = values.map((value) => (value - average) ** 2);
  return Math.sqrt(squares.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length - 1));
};

/** Draws the time to the next event of a Poisson process, in the unit of `meanInterval`. */
export const exponential = (random: Random, meanInterval: number): number =>
  -Math.log(1 - random()) * meanInterval;

/** Draws a value from the standard normal distribution (Box–Muller transform). */
export const normal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

export interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
  /** Coefficient of determination: share of the variance that the line explains. */
  readonly rSquared: number;
}

/** Fits a least-squares line through points. */
export const linearFit = (xs: readonly number[], ys: readonly number[]): LinearFit => {
  const meanX = mean(xs);
  const meanY = mean(ys);
  const covariance = xs.reduce((sum, x, i) => sum + (x - meanX) * ((ys[i] ?? 0) - meanY), 0);
  const varianceX = xs.reduce((sum, x) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / varianceX;
  const intercept = meanY - slope * meanX;
  const residual = ys.reduce((sum, y, i) => sum + (y - intercept - slope * (xs[i] ?? 0)) ** 2, 0);
  const total = ys.reduce((sum, y) => sum + (y - meanY) ** 2, 0);
  return { intercept, slope, rSquared: total === 0 ? 1 : 1 - residual / total };
};

/** Prints rows as a Markdown table. */
export const printTable = (
  header: readonly string[],
  rows: readonly (readonly (string | number)[])[],
) => {
  console.log(`| ${header.join(' | ')} |`);
  console.log(`| ${header.map(() => '---').join(' | ')} |`);
  for (const row of rows) console.log(`| ${row.join(' | ')} |`);
};
