/**
 * Case 12: a stream whose silent run sends again while the request waits for the crash check of its second run. Streams of
 * 28 events go through one entry to six servers. With trouble, two servers are slow (`srv_slow`) and the others lose the
 * answers of some requests (`answer_lost`).
 */
import { writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { fileURLToPath } from "node:url";
import { createConfig, createFleet, findPorts, getHost, wait } from "../lib-3/fleet.js";
import { startStore } from "../lib-3/store.js";

const hasTrouble = process.env.TROUBLE !== "0";
const runMs = Number(process.env.RUN_MS ?? 60_000);
const eventCount = 28;
const streamsPerSecond = 36;
const quickPerSecond = 120;
/** Time between two events, in milliseconds; below the 120 of the sheet. */
const gap = { min: 84, max: 96 };
const firstEvent = { min: 60, max: 120 };
/** `srv_slow`: share 0.4 at most, 12 times at most, for 9 s at most. */
const slow = { servers: 2, factor: 12, forMs: 1000, everyMs: 4000 };
/** `answer_lost` (reset): share 0.6 at most, 0.4 of the requests at most, for 4 s at most. */
const lost = { servers: [2, 3, 4], share: 0.4, forMs: 3000, workMs: { min: 20, max: 60 } };

const startedAt = performance.now();
const record = [];
const note = text => record.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
const pick = ({ min, max }) => min + Math.random() * (max - min);
const runs = new Map();
let slowUntil = 0;
let lostFrom = Infinity;

function startServer(host, id, index) {
    const getFactor = () => index < slow.servers && performance.now() < slowUntil ? slow.factor : 1;
    const isLost = () => {
        const now = performance.now();
        return lost.servers.includes(index) && now >= lostFrom && now < lostFrom + lost.forMs &&
            Math.random() < lost.share;
    };
    const server = createServer(async (message, response) => {
        const requestId = message.headers["beechdock-request-id"];
        for await (const chunk of message) {
            void chunk;
        }
        const headers = { "Beechdock-Request-Id": requestId, "Beechdock-Server-Signature": `s.${id}` };
        if (message.headers["beechdock-expected-instance"] !== id) {
            response.writeHead(421, { ...headers, "Beechdock-Instance-Id": id, "Content-Length": "0" }).end();
            return;
        }
        const after = Number(message.headers["last-event-id"] ?? 0);
        runs.set(requestId, [...runs.get(requestId) ?? [], id]);
        if (message.url.startsWith("/quick/")) {
            response.writeHead(200, { ...headers, "Content-Type": "text/plain", "Content-Length": "2" }).end("ok");
            return;
        }
        note(`${requestId} runs at ${id} after event ${after}`);
        const isAnswerLost = isLost();
        await wait(isAnswerLost ? pick(lost.workMs) : pick(firstEvent));
        if (isAnswerLost) {
            note(`${requestId} loses its answer at ${id}`);
            message.socket.resetAndDestroy();
            return;
        }
        response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
        for (let event = after + 1; event <= eventCount && !response.destroyed; event++) {
            response.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
            await wait(pick(gap) * getFactor());
        }
        response.end();
    });
    return new Promise(resolve => server.listen(0, host, () => resolve(`${host}:${server.address().port}`)));
}

/** Sends a stream and returns what its client has received: the ids of the events, and whether it has ended whole. */
function callStream(entry, id) {
    return new Promise(resolve => {
        let text = "";
        const finish = (status, isWhole) => resolve({ id, status, isWhole, text });
        const call = request({
            ...entry,
            agent: false,
            method: "POST",
            path: "/stream/x",
            headers: {
                Host: "review.example",
                "Beechdock-Request-Id": id,
                "Beechdock-Request-Deadline": "20000",
                "Beechdock-Token-Usage": "835,139",
                "X-Api-Key": "review-key",
                "Content-Length": "2",
            },
        }, response => {
            response.setEncoding("utf8").on("data", chunk => text += chunk);
            response.on("end", () => finish(response.statusCode, response.complete));
            response.on("error", () => finish(response.statusCode, false));
        });
        call.on("error", () => finish(0, false));
        call.end("{}");
    });
}

function callQuick(entry, id) {
    const headers = {
        Host: "review.example",
        "Beechdock-Request-Id": id,
        "Beechdock-Request-Deadline": "2000",
        "X-Api-Key": "review-key",
    };
    const call = request(
        { ...entry, agent: false, method: "GET", path: "/quick/x", headers },
        response => response.resume(),
    );
    call.on("error", () => undefined);
    call.end();
}

/** Describes how a stream breaks ORDER; undefined if it does not. */
function findFault({ id, status, isWhole, text }) {
    if (status !== 200) {
        return undefined;
    }
    const blocks = text.split("\n\n");
    const rest = blocks.pop();
    const ids = [];
    for (const block of blocks) {
        const match = /^id: (\d+)\ndata: (\S+) (\d+)$/.exec(block);
        if (match === null || match[2] !== id || match[1] !== match[3]) {
            return `bytes that are no event of the stream: ${JSON.stringify(block)}`;
        }
        ids.push(Number(match[1]));
    }
    const broken = ids.findIndex((event, index) => event !== index + 1);
    if (broken >= 0) {
        return `event ${ids[broken]} where ${broken + 1} is due`;
    }
    return isWhole && (ids.length < eventCount || rest !== "") ? `complete after event ${ids.length}` : undefined;
}

async function main() {
    const store = await startStore(getHost(1));
    const fleet = createFleet(store.address);
    try {
        const ids = Array.from({ length: 6 }, (ignored, index) => `i-${index}${Date.now().toString(16)}`);
        const addresses = await Promise.all(ids.map((id, index) => startServer(getHost(10 + index), id, index)));
        const born = Date.now();
        const beat = sequence =>
            ids.forEach((id, index) =>
                store.put(
                    "keyed.servers",
                    id,
                    JSON.stringify({
                        service: "pool",
                        address: addresses[index],
                        zone: "zone-a",
                        version: "v1",
                        slots: 60,
                        state: "ready",
                        cold_remaining_ms: 0,
                        sequence,
                        born,
                    }),
                )
            );
        beat(1);
        const streaming = {
            kind: "streaming",
            timeout_ms: 20_000,
            target_latency_ms: 401,
            target_gap_ms: 120,
            priority: 1,
            max_attempts: 3,
            stream_resume: true,
        };
        const quick = { kind: "idempotent", timeout_ms: 2000, target_latency_ms: 400, priority: 2, max_attempts: 2 };
        store.put(
            "keyed.op",
            "config",
            JSON.stringify(createConfig(1, [
                { name: "stream", path_prefix: "/stream/", ...streaming },
                { name: "quick", path_prefix: "/quick/", ...quick },
            ], 60)),
        );
        const [internalPort] = await findPorts(getHost(2), 1);
        const entry = await fleet.startEntry("front-1", getHost(2), internalPort);
        const address = { host: entry.host, port: entry.port };
        const calls = [];
        const beginAt = performance.now();
        let nextTrouble = beginAt + 6000;
        let streamCount = 0;
        let quickCount = 0;
        while (performance.now() - beginAt < runMs) {
            const now = performance.now();
            if (hasTrouble && now >= nextTrouble && now - beginAt < runMs - 10_000) {
                nextTrouble = now + slow.everyMs;
                slowUntil = now + slow.forMs;
                lostFrom = now;
                note("two servers turn slow for 1 s, three others lose answers for 3 s");
            }
            while (streamCount < (now - beginAt) / 1000 * streamsPerSecond) {
                calls.push(callStream(address, `stream-${streamCount++}`));
            }
            while (quickCount < (now - beginAt) / 1000 * quickPerSecond) {
                callQuick(address, `quick-${quickCount++}`);
            }
            await wait(10);
        }
        const results = await Promise.all(calls);
        const faults = results.flatMap(result => {
            const fault = findFault(result);
            note(
                `${result.id} answered ${result.status}, ${result.isWhole ? "whole" : "broken off"}${
                    fault ? `; BROKEN: ${fault}` : ""
                }`,
            );
            return fault === undefined ? [] : [`${result.id}: ${fault}; runs at ${runs.get(result.id)}`];
        });
        const whole = results.filter(({ status, isWhole }) => status === 200 && isWhole).length;
        const summary = [
            `trouble: ${hasTrouble}; streams: ${results.length}, whole: ${whole}; streams that break ORDER: ${faults.length}`,
            ...faults,
        ];
        console.log(summary.join("\n"));
        writeFileSync(fileURLToPath(new URL("record.txt", import.meta.url)), [...summary, ...record, ""].join("\n"));
        return fleet.hasEnded() || whole < results.length / 3 ? 2 : faults.length > 0 ? 1 : 0;
    }
    finally {
        await fleet.close();
    }
}

process.exit(
    await main().catch(error => {
        console.error(error);
        return 2;
    }),
);
