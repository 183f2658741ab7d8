import { expect, test } from "vitest";
import { createHandOver, createHandOverParams, decodeHandOver } from "../handOver.js";
import { applyQuarantineBatch, createMirror, type MirrorRecord } from "../mirror.js";

// Guards against sound requests that are rejected for good: the peer lacks the tombstone of a lifted quarantine.
test("a peer that began with a snapshot hands over that a quarantine was lifted before it", () => {
    const restarted = createMirror<never>();
    const receiver = createMirror<never>();
    const reports: MirrorRecord[] = ["a", "b"].map((key, offset) => ({ key, offset, value: "report" }));
    applyQuarantineBatch(receiver, reports, 2, true);
    // The log continues with a tombstone of "a" at offset 2, which a snapshot does not show.
    applyQuarantineBatch(restarted, [reports[1]], 3, true);
    const handOver = createHandOver(
        { state: restarted, getListServedAt: () => -Infinity },
        createHandOverParams(0, 0, receiver.quarantineEnd!),
        0,
    );
    const { quarantine, quarantineEnd, isQuarantineComplete } = decodeHandOver(JSON.parse(JSON.stringify(handOver)));
    const { changes } = applyQuarantineBatch(receiver, quarantine!, quarantineEnd!, isQuarantineComplete === true);
    expect(changes).toEqual([{ key: "a", offset: 0.5 }]);
});
