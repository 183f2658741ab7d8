/** Which prompt parts an entry has seen answered, bounded; tells usual parts from those that no response is known for. */

export interface PartHistory {
    /** Parts in the order in which they were last answered. */
    parts: Set<string>;
    /** Own parts of the first answered requests. */
    answeredRequests: Set<string>;
    /** Whether so many requests were answered that the usual parts are known. */
    isExperienced: boolean;
}

/** Maximum number of parts; the ones answered longest ago are dropped. */
const maxParts = 8192;
/** Number of answered requests from which the usual parts are known. */
const experiencedRequests = 30;

/** Creates an empty history. */
export function createPartHistory(): PartHistory {
    return { parts: new Set(), answeredRequests: new Set(), isExperienced: false };
}

/** Records that a request with these parts was answered; `ownPart` tells it from others. */
export function recordAnsweredParts(history: PartHistory, parts: string[], ownPart = ""): void {
    for (const part of parts) {
        history.parts.delete(part);
        history.parts.add(part);
    }
    for (const oldest of history.parts) {
        if (history.parts.size <= maxParts) {
            break;
        }
        history.parts.delete(oldest);
    }
    if (!history.isExperienced) {
        history.answeredRequests.add(ownPart);
        history.isExperienced = history.answeredRequests.size >= experiencedRequests;
        if (history.isExperienced) {
            history.answeredRequests.clear();
        }
    }
}
