import { expect, test } from "vitest";
import { createLogPosition, decodeLogPosition, encodeLogPosition, getEra, getOffset } from "../logPosition.js";

/** Eras in the order in which a process learns of them; those of a peer that lags come after later ones. */
const eras = [1_764_853_200, 1_764_853_201, 1_764_900_000, 5, 2047, 1_764_853_300, 6, 2 ** 49];
const offsets = [0, 0.5, 1, 7, 2 ** 30 - 0.5];

test("positions compare the era first, however the eras are numbered and learned of", () => {
    const positions = eras.flatMap(era => offsets.map(offset => ({ era, offset })));
    const sorted = [...positions].sort((a, b) => a.era - b.era || a.offset - b.offset);
    const byNumber = [...positions].sort((a, b) =>
        createLogPosition(a.era, a.offset) - createLogPosition(b.era, b.offset)
    );
    expect(byNumber).toEqual(sorted);
    const decoded = positions.map(({ era, offset }) => createLogPosition(era, offset))
        .map(position => ({ era: getEra(position), offset: getOffset(position) }));
    expect(decoded).toEqual(positions);
});

test("positions are sent as numbers in the eras that earlier versions know, otherwise as a pair", () => {
    const positions = [0, 1, 2047, 2048, 1_764_853_200].map(era => createLogPosition(era, 7.5));
    expect(positions.map(encodeLogPosition)).toMatchInlineSnapshot(`
      [
        7.5,
        1099511627783.5,
        2250700302057479.5,
        [
          2048,
          7.5,
        ],
        [
          1764853200,
          7.5,
        ],
      ]
    `);
    expect(positions.map(position => decodeLogPosition(encodeLogPosition(position)))).toEqual(positions);
});

test("a process tells two thousand eras apart and rejects further ones", () => {
    const createAll = (count: number) => {
        for (let era = 2 ** 49 + 1; era < 2 ** 49 + count; era++) {
            createLogPosition(era, 0);
        }
    };
    expect(() => createAll(2000)).not.toThrow();
    expect(() => createAll(4000)).toThrow("is one more than a process can tell apart");
});
