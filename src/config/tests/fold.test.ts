import { describe, expect, it } from "vitest";
import { createConfigState, foldConfig, type PromoteRecord } from "../fold.js";
import type { ConfigDocument } from "../schemas.js";

const document: ConfigDocument = { workspaces: [], pools: [], routes: [], groups: [] };

function createPromotion(id: string, base: number): PromoteRecord {
    return { kind: "promote", id, environment: "production", base, author: id, document };
}

describe("fold", () => {
    it("lets one of two racing promotions win and tells the other which revision beat it", () => {
        const records = [createPromotion("a", 0), createPromotion("b", 0), createPromotion("a", 0)];
        const state = records.reduce(foldConfig, createConfigState("production"));
        expect([...state.verdicts]).toMatchInlineSnapshot(`
          [
            [
              "a",
              {
                "accepted": true,
                "revision": 1,
              },
            ],
            [
              "b",
              {
                "accepted": false,
                "reason": "made from revision 0, but revision 1 by a is in force",
                "revision": 1,
              },
            ],
          ]
        `);
    });
});
