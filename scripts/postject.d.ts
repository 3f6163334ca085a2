declare module 'postject' {
  /** Adds a resource to an executable. */
  export function inject(
    file: string,
    resourceName: string,
    data: Buffer,
    options: { sentinelFuse: string },
  ): Promise<void>;
}
