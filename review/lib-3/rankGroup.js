/**
 * Stand-in of the servers of one expert-parallel group, as PROTOCOL.md describes them: the ranks run each pass together, and
 * take the orders `prepare`, `arm`, `disarm`, `hold` and `go`.
 */
import { createServer } from "node:http";

const passMs = 30;
const expertCopyMs = 40;
/** Passes after which other experts are in demand. */
const passesPerDemand = 50;
const countsPerEvent = 2500;

function createShares(experts) {
    const weights = Array.from({ length: experts }, () => Math.random() ** 6 + 0.02);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return weights.map(weight => weight / sum);
}

/**
 * Starts the ranks at `hosts`. `onOrder` is called with each order and its status, `onMixedPass` when a pass begins while
 * ranks have different maps. `isOrderLate` draws whether an order gets no answer and is carried out 2 to 12 s later.
 */
export async function startRankGroup({ hosts, sets, experts, spare, isOrderLate, onOrder, onMixedPass }) {
    const size = hosts.length;
    const epoch = 1;
    let step = 0;
    let passes = 0;
    let switches = 0;
    let shares = createShares(experts);
    const ranks = hosts.map((host, rank) => {
        const own = Array.from({ length: experts }, (ignored, expert) => expert).filter(expert =>
            expert % size === rank
        );
        return {
            host,
            rank,
            id: `i-${rank}${Date.now().toString(16)}`,
            map: 0,
            lists: Array.from({ length: sets }, () => own),
            highest: 0,
            prepared: undefined,
            armed: undefined,
            held: undefined,
            counts: Array.from({ length: sets * experts }, () => 0),
            requests: [],
        };
    });
    const isCopied = ({ prepared }) => prepared !== undefined && prepared.copiedAt <= performance.now();
    const handlers = {
        prepare: (rank, { version, map }) => {
            if (rank.prepared?.version === version) {
                return 200;
            }
            const lists = map.map(byRank => byRank[rank.rank]);
            const added = lists.map((list, set) => list.filter(expert => !rank.lists[set].includes(expert)).length);
            if (version <= rank.highest || rank.armed !== undefined || added.some(count => count > spare)) {
                return 409;
            }
            rank.highest = version;
            const copyMs = added.reduce((sum, count) => sum + count, 0) * expertCopyMs;
            rank.prepared = { version, lists, copiedAt: performance.now() + copyMs };
            return 202;
        },
        arm: (rank, { version, step: at }) => {
            if (rank.armed?.version === version && rank.armed.step === at) {
                return 200;
            }
            if (rank.armed !== undefined || rank.prepared?.version !== version || !isCopied(rank) || at <= step) {
                return 409;
            }
            rank.armed = { version, step: at };
            return 202;
        },
        disarm: (rank, { version }) => {
            if (rank.map === version) {
                return 409;
            }
            rank.armed = rank.armed?.version === version ? undefined : rank.armed;
            return 200;
        },
        hold: (rank, { step: at }) => {
            if (rank.held === at) {
                return 200;
            }
            if (rank.held !== undefined || at <= step) {
                return 409;
            }
            rank.held = at;
            return 202;
        },
        go: (rank, { step: at }) => {
            rank.held = rank.held === at ? undefined : rank.held;
            return 200;
        },
    };
    const createReport = rank => ({
        stage: "both",
        models: [{ name: "m", version: 1, adapters: [] }],
        busy: false,
        sequence: 0,
        queued: 0,
        running: rank.requests.length,
        kv_used: 0,
        kv_total: 248_000,
        handles: 0,
        pace: 1,
        group: { name: "g", epoch, rank: rank.rank, state: "open" },
        size,
        step,
        map: rank.map,
        prepared: isCopied(rank) ? rank.prepared.version : undefined,
        armed: rank.armed,
        held: rank.held,
    });
    const runPass = () => {
        const next = step + 1;
        const isHeld = ranks.some(({ held }) => held !== undefined && held <= next);
        if (isHeld || ranks.every(({ requests }) => requests.length === 0)) {
            return;
        }
        step = next;
        passes += 1;
        if (passes % passesPerDemand === 0) {
            shares = createShares(experts);
        }
        for (const rank of ranks) {
            if (rank.armed?.step === step) {
                rank.map = rank.armed.version;
                rank.lists = rank.prepared.lists;
                rank.armed = undefined;
                switches += 1;
            }
        }
        if (new Set(ranks.map(({ map }) => map)).size > 1) {
            onMixedPass(step, ranks.map(({ map }) => map));
        }
        for (const rank of ranks) {
            for (const stream of rank.requests) {
                stream.event += 1;
                stream.response.write(`id: ${stream.event}\ndata: ${stream.id}\n\n`);
                rank.counts.forEach((count, index) =>
                    rank.counts[index] = count + Math.round(countsPerEvent * shares[index % experts])
                );
                if (stream.event === stream.last) {
                    stream.response.end();
                }
            }
            rank.requests = rank.requests.filter(({ event, last, response }) => event < last && !response.destroyed);
        }
    };
    const sendJson = (response, status, value) => {
        response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(value));
    };
    const handle = async (rank, message, response) => {
        const chunks = [];
        for await (const chunk of message) {
            chunks.push(chunk);
        }
        const path = `${message.method} ${message.url}`;
        if (path === "GET /report") {
            sendJson(response, 200, createReport(rank));
        }
        else if (path === "GET /picked") {
            sendJson(response, 200, { step, epoch, counts: rank.counts });
        }
        else if (message.url.startsWith("/picked")) {
            const prepared = rank.prepared && { version: rank.prepared.version, experts: rank.prepared.lists };
            sendJson(response, 200, { epoch, map: { version: rank.map, experts: rank.lists }, prepared });
        }
        else if (path === "POST /order") {
            const order = JSON.parse(Buffer.concat(chunks).toString());
            const apply = () => order.epoch === epoch ? handlers[order.operation](rank, order) : 409;
            if (isOrderLate(rank.rank)) {
                onOrder(rank.rank, order, "unanswered", step);
                setTimeout(() => onOrder(rank.rank, order, `late: ${apply()}`, step), 2000 + Math.random() * 10_000);
                return;
            }
            const status = apply();
            sendJson(response, status, {});
            onOrder(rank.rank, order, status, step);
        }
        else {
            const id = message.headers["beechdock-request-id"];
            const headers = { "Beechdock-Request-Id": id, "Beechdock-Server-Signature": `s.${rank.id}` };
            if (message.headers["beechdock-expected-instance"] !== rank.id) {
                response.writeHead(421, { ...headers, "Content-Length": "0" }).end();
                return;
            }
            const event = Number(message.headers["last-event-id"] ?? 0);
            response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
            rank.requests.push({ id, event, last: Math.max(event + 1, 28), response });
        }
    };
    await Promise.all(ranks.map(rank =>
        new Promise(resolve => {
            const server = createServer((message, response) => void handle(rank, message, response));
            server.listen(0, rank.host, () => {
                rank.port = server.address().port;
                resolve();
            });
        })
    ));
    const timer = setInterval(runPass, passMs);
    return {
        ranks,
        getCounts: () => ({ passes, switches }),
        getHeld: () => ranks.map(({ held }) => held).find(held => held !== undefined),
        close: () => clearInterval(timer),
    };
}
