import { expect, test } from "vitest";
import { createPresenceTracker } from "../presenceTracker.js";

test("entries are listed until their last heartbeat is too old", () => {
    let time = 0;
    const tracker = createPresenceTracker(1000, () => time);
    const listAt = (at: number) => {
        time = at;
        return tracker.list();
    };
    tracker.record("a");
    time = 600;
    tracker.record("b");
    tracker.record("a");
    time = 900;
    tracker.record("c");
    expect([900, 1600, 1601, 1900, 1901].map(listAt)).toMatchInlineSnapshot(`
      [
        [
          "a",
          "b",
          "c",
        ],
        [
          "a",
          "b",
          "c",
        ],
        [
          "c",
        ],
        [
          "c",
        ],
        [],
      ]
    `);
});
