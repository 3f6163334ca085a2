import type http from 'node:http';

/** Closes a server with all its connections. */
export const closeServer = (server: http.Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
