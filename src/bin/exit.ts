/** Exit codes and signal handlers of the programs. */

/** Exit codes of every program except the operators' command line. */
export const ExitCode = { ok: 0, failed: 1, badInput: 2 } as const;

/** Prints `text` to standard error and exits the process. */
export function exitWith(code: number, text: string): never {
    process.stderr.write(`${text}\n`);
    process.exit(code);
}

/**
 * Calls `stop` on the first SIGTERM or SIGINT and ignores later ones. Exits with `ok` when it resolves, or with
 * `failed` when it rejects.
 */
export function registerShutdown(stop: () => Promise<void>): void {
    let isStopping = false;
    const handleSignal = () => {
        if (!isStopping) {
            isStopping = true;
            void stop().then(() => process.exit(ExitCode.ok), () => process.exit(ExitCode.failed));
        }
    };
    process.on("SIGTERM", handleSignal);
    process.on("SIGINT", handleSignal);
}

let handleReload: (() => void) | undefined;
let isReloadPending = false;

/** Accepts SIGHUP, which would terminate the process by default; a signal before `registerReload` is handled then. */
export function acceptReloads(): void {
    process.on("SIGHUP", () => {
        isReloadPending = handleReload === undefined;
        handleReload?.();
    });
}

/** Calls `reload` on each SIGHUP, and at once if one has arrived since `acceptReloads`. */
export function registerReload(reload: () => void): void {
    handleReload = reload;
    if (isReloadPending) {
        isReloadPending = false;
        reload();
    }
}
