import type http from 'node:http';

/** Stops a server and closes all its connections, including those with a request in progress. */
export const closeServer = (server: http.Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
