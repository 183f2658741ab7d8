/** How programs end, and what else signals tell them. */

export const ExitCode = { ok: 0, failed: 1, badInput: 2 } as const;

/** Prints `text` to standard error and exits. */
export function exitWith(code: number, text: string): never {
    process.stderr.write(`${text}\n`);
    process.exit(code);
}

/** Calls `stop` on the first SIGTERM or SIGINT and exits when it has finished. */
export function registerShutdown(stop: () => Promise<void>): void {
    let stopping = false;
    const handle = () => {
        if (!stopping) {
            stopping = true;
            void stop().then(() => process.exit(ExitCode.ok), () => process.exit(ExitCode.failed));
        }
    };
    process.on("SIGTERM", handle);
    process.on("SIGINT", handle);
}

/** Calls `reload` on each SIGHUP, which would end the process otherwise. */
export function registerReload(reload: () => void): void {
    process.on("SIGHUP", reload);
}
