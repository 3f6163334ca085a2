/** Splits an address such as `10.0.0.7:8000` or `[fd00::7]:8000` into IP address and port. */
export const splitAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
};
