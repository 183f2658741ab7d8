/** Logs and counts what responses say of the upstream of a slot. */
import { createFirstOccurrenceCheck } from "../observe/firstOccurrence.js";
import type { Logger } from "../observe/logger.js";
import type { SlotMetrics } from "./metrics.js";
import type { RunnerListener } from "./runner.js";

/** Maximum number of odd values that are remembered as logged. */
const maxLoggedValues = 256;

/** Creates the listener of a slot's runner. */
export function createRunnerListener(
    logger: Logger,
    metrics: Pick<SlotMetrics, "rateLimitChanges" | "notices">,
): RunnerListener {
    const isNewValue = createFirstOccurrenceCheck(maxLoggedValues);
    return {
        onRateLimit: (named, values) => {
            logger.info("The rate limit of the upstream has changed.", { named: named.kind, values });
            metrics.rateLimitChanges.inc({ named: named.kind });
        },
        onLeaving: requestId => {
            logger.info("The upstream says that it leaves.", { requestId });
            metrics.notices.inc({ kind: "leaving" });
        },
        onPause: (requestId, pauseMs) => {
            logger.info("The upstream asks for a pause.", { requestId, pauseMs });
            metrics.notices.inc({ kind: "pause" });
        },
        onOddPause: (requestId, values) => {
            if (isNewValue(values.join(", "))) {
                logger.warn("The upstream asks for a pause that is too long or no number of seconds.", {
                    requestId,
                    values,
                });
            }
        },
        onObstacle: (requestId, { title, noticeRequestId, ageMs }) =>
            logger.debug("A run is kept from the upstream.", { requestId, title, noticeRequestId, ageMs }),
    };
}
