/** Types shared by the commands. */

/** Exit codes of the operators' command line; the help text documents them. */
export const CommandExitCode = { ok: 0, failed: 1, badInput: 2, rejected: 3, incomplete: 4 } as const;

/** Parsed command line options. */
export interface Options {
    log: string | undefined;
    settings: string | undefined;
    from: number | undefined;
    since: string;
    environment: string | undefined;
    author: string;
    json: boolean;
    print: boolean;
}

/** Runs a command with its positional arguments and returns the exit code. */
export type Command = (args: string[], options: Options) => Promise<number>;
