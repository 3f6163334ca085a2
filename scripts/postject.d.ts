declare module 'postject' {
  /** Injects a resource into an executable. */
  export function inject(
    file: string,
    resourceName: string,
    data: Buffer,
    options: { sentinelFuse: string },
  ): Promise<void>;
}
