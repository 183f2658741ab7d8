/** Types that the commands share. */

export const CommandExitCode = { ok: 0, failed: 1, badInput: 2, rejected: 3, incomplete: 4 } as const;

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

/** Runs with the words after its name; returns the exit code. */
export type Command = (args: string[], options: Options) => Promise<number>;
