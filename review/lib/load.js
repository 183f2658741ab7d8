/** Servers of a plain service, clients with kept connections, and the check of the rule LOST for kept connections. */
import { Agent, createServer } from "node:http";
import { bounds, call, createHost, findPort, onClose, wait } from "./harness.js";

export const routeHost = "r.example";
export const apiKey = "key-1";

/** Limits of a small deployment. */
export const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
};

/** Creates a configuration with one tenant; routes are given without what all of them share. */
export function createConfig(version, routes, services) {
    const common = { host: routeHost, timeout_ms: 8000, target_latency_ms: 400, priority: 1, max_attempts: 1 };
    return JSON.stringify({
        version,
        routes: routes.map(route => ({ name: `r-${route.path_prefix}`, ...common, public: false, ...route })),
        services: services.map(name => ({ name, health_path: "/health", max_connections: 248, protocol: "h1" })),
        limits,
        tenants: [{ name: "tenant-1", api_keys: [apiKey], priority: 1 }],
    });
}

/** Creates the entry of a server in the list. */
export function createListEntry({ service, address }, fields = {}) {
    return JSON.stringify({
        service,
        address,
        zone: "a",
        version: "v1",
        slots: 8,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 1,
        born: Date.now(),
        ...fields,
    });
}

/**
 * Starts a sound server: it runs what expects it or nobody, and tells other requests 421. `answer` may send the answer in
 * place of the server; it returns whether it did.
 */
export async function startServer(record, { id, service, index, workMs = 120, answer = () => false }) {
    const host = createHost(index);
    const port = await findPort(host);
    const runs = new Map();
    const server = createServer((message, response) => {
        message.resume();
        message.on("end", () => {
            const requestId = message.headers["beechdock-request-id"];
            const expected = message.headers["beechdock-expected-instance"];
            if (expected !== undefined && expected !== id) {
                record.add(`${id} answers 421 to ${requestId}, which expects ${expected}`);
                const headers = { "Beechdock-Request-Id": requestId, "Beechdock-Not-Executed": "1" };
                response.writeHead(421, { ...headers, "Beechdock-Instance-Id": id, "Content-Length": 0 }).end();
                return;
            }
            runs.set(requestId, [...runs.get(requestId) ?? [], { path: message.url, at: performance.now() }]);
            record.add(`${id} runs ${requestId} ${message.url}`);
            setTimeout(() => {
                if (!answer(message, response)) {
                    const body = `${id} has run ${requestId}`;
                    response.writeHead(200, {
                        "Beechdock-Request-Id": requestId,
                        "Beechdock-Server-Signature": `${id}.${requestId}`,
                        "Content-Length": body.length,
                    }).end(body);
                }
            }, workMs);
        });
    });
    server.keepAliveTimeout = 15_000;
    await new Promise(resolve => server.listen(port, host, resolve));
    onClose(() => {
        server.close();
        server.closeAllConnections();
    });
    return { id, service, address: `${host}:${port}`, runs };
}

/**
 * Sends requests on kept connections, one at a time on each, until `stop` is called. A client whose connection fails goes
 * on at the next entry, as the platform's ingress takes it away from a dead one.
 */
export function startLoad(record, { hosts, port, path, clients, pauseMs, prefix = "c" }) {
    const sent = [];
    let isStopping = false;
    const runClient = async client => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        onClose(() => agent.destroy());
        let hostIndex = client;
        for (let count = 0; !isStopping; count++) {
            const host = hosts[hostIndex % hosts.length];
            const id = `${prefix}${client}-${count}`;
            const headers = {
                Host: routeHost,
                "X-Api-Key": apiKey,
                "Beechdock-Request-Id": id,
                "Beechdock-Request-Deadline": "4000",
                "Content-Length": 2,
            };
            const answer = await call({ host, port, method: "POST", path, headers, body: "{}", agent });
            sent.push({ id, host, ...answer });
            record.add(`${id} by ${host}: ${answer.status} ${answer.error} after ${answer.ms} ms`);
            if (answer.error !== "") {
                hostIndex += 1;
            }
            await wait(pauseMs);
        }
    };
    const ended = Array.from({ length: clients }, (ignored, client) => runClient(client));
    return {
        sent,
        stop: async () => {
            isStopping = true;
            await Promise.all(ended);
        },
    };
}

/** Lists the requests on kept connections that a sound server has run and that got no answer when the connection closed. */
export function listLost(sent, soundServers) {
    return sent.filter(({ id, isReused, isComplete, error }) =>
        isReused && !isComplete && error !== "" && error !== "no answer in time" &&
        soundServers.some(({ runs }) => runs.has(id))
    );
}

/** Number of lost requests that the rule LOST allows. */
export const maxLost = 3;

/** Starts a program again a short time after each end, as the platform does. */
export function keepRunning(record, launch, isStopping) {
    const state = { ends: 0 };
    const run = async () => {
        const running = launch();
        const end = await running.ended;
        if (isStopping()) {
            return;
        }
        state.ends += 1;
        const reason = /^\w*Error.*$/m.exec(running.output)?.[0] ?? "no message";
        record.add(`the process at ${running.host} ended by itself: ${end}: ${reason}`);
        await wait(500);
        if (!isStopping()) {
            void run();
        }
    };
    void run();
    return state;
}

export { bounds };
