/** Clients that send fields without end and never complete their request, beside ordinary ones, at one entry. */
import { writeFileSync } from "node:fs";
import { Agent, createServer, request } from "node:http";
import { connect } from "node:net";
import { createConfig, createFleet, findPorts, getHost, wait } from "./fleet.js";
import { startStore } from "./store.js";

const hasTrouble = process.env.TROUBLE !== "0";
const runMs = 24_000;
const troubleAtMs = 6000;
const ordinaryClients = 40;
const workMs = 2500;
/** Misbehaving clients: up to 200 of them, 240 KB each in lines of four bytes. */
const odd = { clients: 200, lines: 60_000 };
/** Losses that the rule allows. */
const allowedLosses = 3;

const startedAt = performance.now();
const record = [];
const note = text => record.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
const runs = new Set();

function startServer(host, id) {
    const server = createServer(async (message, response) => {
        for await (const chunk of message) {
            void chunk;
        }
        const requestId = message.headers["beechdock-request-id"];
        const headers = { "Beechdock-Request-Id": requestId, "Beechdock-Server-Signature": `s.${id}` };
        if (message.headers["beechdock-expected-instance"] !== id) {
            response.writeHead(421, { ...headers, "Content-Length": "0" }).end();
            return;
        }
        runs.add(requestId);
        await wait(workMs);
        response.writeHead(200, { ...headers, "Content-Length": "4" }).end("done");
    });
    return new Promise(resolve => server.listen(0, host, () => resolve(`${host}:${server.address().port}`)));
}

const createHead = (id, lines) =>
    [
        "POST /submit/x HTTP/1.1",
        "Host: review.example",
        `Beechdock-Request-Id: ${id}`,
        "Beechdock-Request-Deadline: 8000",
        "X-Api-Key: review-key",
        ...lines,
        "",
        "",
    ].join("\r\n");

/** What a client sends that never ends its request, by kind; the lines are "a:". */
const oddRequests = {
    trailers: index => `${createHead(`odd-${index}`, ["Transfer-Encoding: chunked"])}1\r\na\r\n0\r\n`,
    heads: index => createHead(`odd-${index}`, []).slice(0, -2),
};

function openOddClient(entry, kind, index) {
    const socket = connect(entry.port, entry.host);
    socket.on("error", () => undefined);
    socket.resume();
    socket.write(oddRequests[kind](index));
    socket.write("a:\r\n".repeat(odd.lines));
    return socket;
}

/** Sends requests on one kept connection, one after the other, until it is over; reports each that is lost. */
async function runClient(entry, name, isOver, onEnd) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let count = 0; !isOver(); count++) {
        const id = `${name}-${count}`;
        const outcome = await new Promise(resolve => {
            const headers = {
                Host: "review.example",
                "Beechdock-Request-Id": id,
                "Beechdock-Request-Deadline": "8000",
                "X-Api-Key": "review-key",
                "Content-Length": "2",
            };
            const options = { host: entry.host, port: entry.port, agent, method: "POST", path: "/submit/x", headers };
            const call = request(options, response => {
                response.resume();
                response.on("end", () => resolve(response.statusCode));
                response.on("error", () => resolve("broken off"));
            });
            call.on(
                "error",
                error => resolve(call.reusedSocket ? `kept connection closed: ${error.code}` : "no connection"),
            );
            call.end("{}");
        });
        onEnd(id, outcome);
        await wait(outcome === 200 ? 20 : 200);
    }
    agent.destroy();
}

/** Plays ordinary clients beside misbehaving ones of a kind; resolves to the exit code of the script. */
async function playClients(kind, recordFile) {
    const store = await startStore(getHost(1));
    const fleet = createFleet(store.address);
    try {
        const addresses = await Promise.all([0, 1].map(index => startServer(getHost(10 + index), `i-${index}`)));
        addresses.forEach((address, index) =>
            store.put(
                "keyed.servers",
                `i-${index}`,
                JSON.stringify({
                    service: "pool",
                    address,
                    zone: "zone-a",
                    version: "v1",
                    slots: 60,
                    state: "ready",
                    cold_remaining_ms: 0,
                    sequence: 1,
                    born: Date.now(),
                }),
            )
        );
        const route = { name: "submit", path_prefix: "/submit/", kind: "non_idempotent", timeout_ms: 8000 };
        const config = createConfig(1, [{ ...route, target_latency_ms: 400, priority: 1, max_attempts: 1 }], 60);
        delete config.services[0].engine;
        store.put("keyed.op", "config", JSON.stringify(config));
        const [internalPort] = await findPorts(getHost(2), 1);
        const entry = await fleet.startEntry("front-1", getHost(2), internalPort);
        let end;
        entry.child.once("exit", (code, signal) => {
            end = `by itself, with ${code ?? signal}`;
            note(`the entry has ended ${end}`);
        });
        const beginAt = performance.now();
        const isOver = () => performance.now() - beginAt > runMs || end !== undefined;
        const counts = { answered: 0, lost: 0, other: 0 };
        const clients = Array.from(
            { length: ordinaryClients },
            (ignored, index) =>
                runClient(entry, `client-${index}`, isOver, (id, outcome) => {
                    const isLost = typeof outcome === "string" && outcome.startsWith("kept") && runs.has(id);
                    counts[outcome === 200 ? "answered" : isLost ? "lost" : "other"] += 1;
                    note(`${id}: ${outcome}${runs.has(id) ? ", run" : ""}${isLost ? ": LOST" : ""}`);
                }),
        );
        const oddClients = [];
        await wait(troubleAtMs);
        for (let index = 0; hasTrouble && index < odd.clients && end === undefined; index++) {
            oddClients.push(openOddClient(entry, kind, index));
            await wait(20);
        }
        note(`${oddClients.length} clients have sent ${kind}`);
        await Promise.all(clients);
        oddClients.forEach(socket => socket.destroy());
        const summary = `trouble: ${hasTrouble}; clients with ${kind}: ${oddClients.length}; entry: ` +
            `${end === undefined ? "runs" : `ended ${end}`}; answered: ${counts.answered}, lost: ${counts.lost}, ` +
            `other: ${counts.other}`;
        console.log(summary);
        writeFileSync(recordFile, [summary, ...record, ""].join("\n"));
        return counts.lost > allowedLosses ? 1 : counts.answered < 100 ? 2 : 0;
    }
    finally {
        await fleet.close();
    }
}

/** Plays the case and ends this process with its exit code. */
export async function runOddClients(kind, recordFile) {
    process.exit(
        await playClients(kind, recordFile).catch(error => {
            console.error(error);
            return 2;
        }),
    );
}
