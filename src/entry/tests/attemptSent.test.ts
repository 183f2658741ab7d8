import { expect, it } from "vitest";
import { advanceAttempt, createAttemptState } from "../attempt.js";

it("does not take an unreachable resumption for proof that nothing was sent", () => {
    const state = createAttemptState(false, 10_000);
    const place = { requestId: "r", attempt: 1 };
    advanceAttempt(state, { kind: "chosen" }, 0);
    advanceAttempt(state, { kind: "frame", frame: { ...place, sequence: 0, kind: "accepted", incarnation: "i" } }, 1);
    advanceAttempt(state, { kind: "broken" }, 2);
    const late = { ...place, sequence: 1, kind: "head", status: 200, headers: {} } as const;
    advanceAttempt(state, { kind: "frame", frame: late }, 3);
    expect(advanceAttempt(state, { kind: "unreachable" }, 4)).toMatchInlineSnapshot(`
      [
        {
          "kind": "resume",
          "nextSequence": 2,
        },
      ]
    `);
});
