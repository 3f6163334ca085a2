/** What gateway nodes show operators, by the name of the command. Loaded with the command line, so it imports nothing. */
export const GATEWAY_VIEWS = {
  accounts: 'the client accounts in force, and the requests of each at the answering node',
  usage: 'the numbers of requests by window and client account',
  duties: 'the duties, their holders and the last call of the answering node',
  'worker-orders': 'the numbers of workers that were ordered, with the reason',
  suspects: 'the requests under which workers ended',
  uploads: 'the memory that callers make the answering node hold',
} as const;

export type GatewayViewName = keyof typeof GATEWAY_VIEWS;
