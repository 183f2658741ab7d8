/** Callers that leave while the entry holds bytes of theirs which it has not read, or they have not read its response. */
import type { Socket } from "node:net";
import { openRawConnection, type RawConnection } from "./rawConnection.js";

/** Formats the request of a test with a body. */
export type RequestFormatter = (body: string) => string;

const bodyBytes = 200_000;

/** What a caller has sent behind its first request, by description. */
export const bytesBehind: Record<string, (formatRequest: RequestFormatter) => string> = {
    "nothing": () => "",
    "12 requests of 200 KB": formatRequest => formatRequest("x".repeat(bodyBytes)).repeat(12),
    "half of a second body": formatRequest => formatRequest("x".repeat(2 * bodyBytes)).slice(0, -bodyBytes),
    "500 requests of some bytes": formatRequest => formatRequest("x").repeat(500),
};

/** How a caller leaves, by description. */
export const waysToLeave: Record<string, (socket: Socket) => void> = {
    "closes": socket => socket.destroy(),
    "resets": socket => socket.resetAndDestroy(),
    "closes its side only": socket => socket.end(),
};

/** Whether a caller reads its response. */
export const readingModes = { "reads its response": true, "does not read its response": false } as const;

export interface LeavingForm {
    behind: string;
    reading: keyof typeof readingModes;
    way: string;
}

/** Lists all combinations. */
export function listLeavingForms(): LeavingForm[] {
    return Object.keys(bytesBehind).flatMap(behind =>
        (Object.keys(readingModes) as LeavingForm["reading"][]).flatMap(reading =>
            Object.keys(waysToLeave).map(way => ({ behind, reading, way }))
        )
    );
}

/** Opens a connection that sends a request and the bytes behind it. */
export function openLeavingCaller(
    url: string,
    { behind, reading }: LeavingForm,
    formatRequest: RequestFormatter,
): RawConnection {
    const connection = openRawConnection(url, formatRequest("x") + bytesBehind[behind](formatRequest));
    if (!readingModes[reading]) {
        connection.socket.pause();
    }
    return connection;
}
