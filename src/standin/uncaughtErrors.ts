/** Collects the errors that would end the process. */
export interface UncaughtErrors {
    errors: unknown[];
    /** Ends the collection, so that such errors end the process again. */
    stop: () => void;
}

/** Starts to collect uncaught exceptions and unhandled rejections of this process. */
export function collectUncaughtErrors(): UncaughtErrors {
    const errors: unknown[] = [];
    const record = (error: unknown) => errors.push(error);
    process.on("uncaughtException", record);
    process.on("unhandledRejection", record);
    return {
        errors,
        stop: () => {
            process.off("uncaughtException", record);
            process.off("unhandledRejection", record);
        },
    };
}
