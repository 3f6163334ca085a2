/** What an election stores about the holder of a subject. */
export interface HolderRecord {
  readonly node: string;
  readonly incarnation: string;
  /** IP address and port at which other nodes reach the holder. */
  readonly host: string;
  readonly peerPort: number;
  /** Increases with each change of holder. */
  readonly term: number;
  /** Whether the holder has given the subject up in a planned stop. @default false */
  readonly released?: boolean;
}

/** What nodes are elected for, and how the holder is stored and announced. */
export interface ElectionSubject<R extends HolderRecord> {
  /** Breaks ties between candidates of the same capacity, so that not all subjects go to the same one. */
  readonly name: string;
  /** First part of the names of log events, such as `dispatcher`. */
  readonly role: string;
  /** Fields of each log line. */
  readonly logFields: Readonly<Record<string, string>>;
  /** Key of the record at the platform. */
  readonly key: string;
  /** First part of the lease name that a holder announces in heartbeats; the term follows. */
  readonly leasePrefix: string;
  readonly create: (fields: HolderRecord) => R;
  readonly encode: (record: R) => unknown;
  readonly decode: (value: unknown) => R;
  /**
   * Time in which a leaving holder releases the subject, in ms; only then is it claimed without a release. Absent: a
   * leaving holder is replaced at once.
   */
  readonly releaseGraceMs?: number;
  /** Interval between checks of the holder's state, in ms; each one looks at all peers. @default 200 */
  readonly checkIntervalMs?: number;
}
