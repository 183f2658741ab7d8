/**
 * Case 11: a slot that leads its group is killed while it arms the ranks of a new map, and is started again; its successor
 * freezes while it takes the rollout back. Two servers leave some orders unanswered. Streams go through one entry to a group of five ranks, each with its slot.
 */
import { writeFileSync } from "node:fs";
import { request } from "node:http";
import { fileURLToPath } from "node:url";
import { createConfig, createFleet, findPorts, getHost, wait } from "../lib-3/fleet.js";
import { startRankGroup } from "../lib-3/rankGroup.js";
import { startStore } from "../lib-3/store.js";

const hasTrouble = process.env.TROUBLE !== "0";
const runMs = Number(process.env.RUN_MS ?? 95_000);
const dimensions = { sets: 2, experts: 20, placements: 6, spare: 4 };
/** Versions of maps name the rank that made them. */
const versionModulus = 1024;
/** Time until the platform starts a process again that was killed, in milliseconds. */
const restartMs = 100;
/** `node_freeze`: 4 s at most. */
const freezeMs = 4000;
/** Pause between two rounds of the disruptions, in milliseconds. */
const calmMs = 3000;
/** `applied_late`: 0.35 of the orders at most, for 5.5 s at most; here of those to two of the five servers, from the kill on. */
const late = { share: 0.35, ranks: [1, 2], forMs: 5500 };

const startedAt = performance.now();
const record = [];
const note = text => record.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);

function callStream(entry, id, onEnd) {
    const headers = {
        Host: "review.example",
        "Beechdock-Request-Id": id,
        "Beechdock-Request-Deadline": "8000",
        "Beechdock-Token-Usage": "835,139",
        "X-Api-Key": "review-key",
        "Content-Length": "2",
    };
    const call = request({ ...entry, agent: false, method: "POST", path: "/stream/x", headers }, response => {
        response.resume();
        response.on("end", () => onEnd(response.statusCode, response.complete));
        response.on("error", () => onEnd(response.statusCode, false));
    });
    call.on("error", () => onEnd(0, false));
    call.end("{}");
}

async function main() {
    const store = await startStore(getHost(1));
    const fleet = createFleet(store.address);
    const hosts = Array.from({ length: 5 }, (ignored, index) => getHost(10 + index));
    const slots = [];
    /** 0: calm; 1: the leader was killed; 2: the successor leads; 3: it is frozen. */
    let phase = 0;
    let quietUntil = performance.now() + 8000;
    let rounds = 0;
    let lateUntil = 0;
    let mixed;
    let successor;
    // The takeover order: by host, with rank 0 at the end.
    const findSuccessor = leader => [1, 2, 3, 4, 0].find(rank => rank !== leader);
    const killLeader = leader => {
        lateUntil = performance.now() + late.forMs;
        phase = 1;
        rounds += 1;
        successor = findSuccessor(leader);
        slots[leader].kill("SIGKILL");
        note(`the slot of rank ${leader}, which leads, is killed`);
        setTimeout(
            () => void startSlot(leader).then(() => note(`the slot of rank ${leader} listens again`)),
            restartMs,
        );
    };
    const calmDown = () => {
        phase = 0;
        quietUntil = performance.now() + calmMs;
    };
    /** Freezes the successor when it has given the order after which only its own rank is left of the rollout. */
    const freezeIfDue = () => {
        const others = group.ranks.filter(({ rank }) => rank !== successor);
        const isFence = version => version !== undefined && Math.floor(version / versionModulus) % 2 === 1;
        const isTakenBack = others.every(({ armed, prepared }) => armed === undefined && isFence(prepared?.version));
        if (group.getHeld() === undefined) {
            calmDown();
        }
        else if (isTakenBack && group.ranks[successor].armed !== undefined) {
            phase = 3;
            note(`the slot of rank ${successor}, which has just given an order, freezes`);
            slots[successor].kill("SIGSTOP");
            setTimeout(() => {
                note(`the slot of rank ${successor} wakes`);
                slots[successor].kill("SIGCONT");
                calmDown();
            }, freezeMs);
        }
    };
    const group = await startRankGroup({
        hosts,
        ...dimensions,
        isOrderLate: rank => performance.now() < lateUntil && late.ranks.includes(rank) && Math.random() < late.share,
        onOrder: (rank, { operation, version, step }, status, now) => {
            note(`rank ${rank}: ${operation} version ${version ?? "-"} step ${step ?? "-"}: ${status} (pass ${now})`);
            const leader = version % versionModulus;
            const isDue = hasTrouble && phase === 0 && performance.now() > quietUntil;
            if (isDue && operation === "arm" && status === 202 && rank === findSuccessor(leader)) {
                killLeader(leader);
            }
            if (phase === 2) {
                freezeIfDue();
            }
        },
        onMixedPass: (step, maps) => {
            note(`BROKEN: pass ${step} begins with the maps ${maps.join(" ")}`);
            mixed ??= `pass ${step} begins with the maps ${maps.join(" ")}`;
        },
    });
    try {
        const born = Date.now();
        group.ranks.forEach(({ id, host, port, rank }) =>
            store.put(
                "keyed.servers",
                id,
                JSON.stringify({
                    service: "pool",
                    address: `${host}:${port}`,
                    zone: "zone-a",
                    version: "v1",
                    slots: 60,
                    state: "ready",
                    cold_remaining_ms: 0,
                    stage: "both",
                    models: [{ name: "m", version: 1, adapters: [] }],
                    sequence: 1,
                    born,
                    group: { name: "g", epoch: 1, rank, state: "open" },
                    size: hosts.length,
                }),
            )
        );
        const route = {
            name: "stream",
            path_prefix: "/stream/",
            kind: "streaming",
            timeout_ms: 8000,
            target_latency_ms: 401,
            target_gap_ms: 120,
            priority: 1,
            max_attempts: 2,
            stream_resume: true,
        };
        store.put("keyed.op", "config", JSON.stringify(createConfig(1, [route], 60, { ...dimensions, form_ms: 600 })));
        const [internalPort] = await findPorts(getHost(2), 1);
        const entry = await fleet.startEntry("front-1", getHost(2), internalPort);
        startSlot = async rank => {
            const { host, port } = group.ranks[rank];
            const child = await fleet.startSlot(`side-${rank}`, host, internalPort, `${host}:${port}`, [entry.control]);
            slots[rank] = child;
            child.stdout.on("data", chunk => {
                if (chunk.includes("This slot has become the leader")) {
                    note(`the slot of rank ${rank} leads`);
                    if (phase === 1 && rank === successor) {
                        phase = 2;
                    }
                }
            });
        };
        await Promise.all(hosts.map((ignored, rank) => startSlot(rank)));
        const beginAt = performance.now();
        const ends = { whole: 0, other: 0 };
        let count = 0;
        while (performance.now() - beginAt < runMs && mixed === undefined) {
            while (count < (performance.now() - beginAt) / 1000 * 10) {
                callStream(
                    { host: entry.host, port: entry.port },
                    `stream-${count++}`,
                    (status, isWhole) => ends[status === 200 && isWhole ? "whole" : "other"] += 1,
                );
            }
            await wait(20);
        }
        const { passes, switches } = group.getCounts();
        const summary =
            `trouble: ${hasTrouble}; rounds: ${rounds}; passes: ${passes}; switches of ranks: ${switches}; ` +
            `streams whole: ${ends.whole}, other: ${ends.other}; MAP ${
                mixed === undefined ? "held" : `broken: ${mixed}`
            }`;
        console.log(summary);
        writeFileSync(fileURLToPath(new URL("record.txt", import.meta.url)), [summary, ...record, ""].join("\n"));
        return mixed !== undefined ? 1 : switches < 20 || (hasTrouble && rounds === 0) ? 2 : 0;
    }
    finally {
        slots.forEach(slot => slot.kill("SIGCONT"));
        await fleet.close();
        group.close();
    }
}

let startSlot;
process.exit(
    await main().catch(error => {
        console.error(error);
        return 2;
    }),
);
