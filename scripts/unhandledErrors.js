/** Vitest reporter that writes the errors which no test has caught to a file, as the JSON reporter leaves them out. */
import { writeFileSync } from "node:fs";

export const unhandledErrorsFile = "dist/unhandled-errors.json";

export default class UnhandledErrorsReporter {
    /**
     * @param {unknown} modules
     * @param {readonly { message: string; stack?: string }[]} errors
     */
    onTestRunEnd(modules, errors) {
        writeFileSync(unhandledErrorsFile, JSON.stringify(errors.map(({ message, stack }) => ({ message, stack }))));
    }
}
