/** Ends a program when it is told to. */

const exitOk = 0;
const exitFailed = 1;

/** Calls `stop` on the first SIGTERM or SIGINT and exits when it has finished. */
export function registerShutdown(stop: () => Promise<void>): void {
    let stopping = false;
    const handle = () => {
        if (!stopping) {
            stopping = true;
            void stop().then(() => process.exit(exitOk), () => process.exit(exitFailed));
        }
    };
    process.on("SIGTERM", handle);
    process.on("SIGINT", handle);
}
