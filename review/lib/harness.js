/**
 * What the scripts of the review share: a store and clients as small stand-ins, and the project's programs as separate
 * processes, started with the commands of the deploy file.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const root = fileURLToPath(new URL("../..", import.meta.url));
/** Whether the script causes the disruption; `TROUBLE=0` does the same without it. */
export const hasTrouble = process.env.TROUBLE !== "0";
/** First three octets of the run's loopback addresses, so that several runs can be in progress at once. */
const subnet = `127.${100 + process.pid % 100}.${1 + Math.floor(process.pid / 100) % 250}`;
export const createHost = index => `${subnet}.${index}`;
export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

const closers = [];
export const onClose = close => closers.push(close);

/** Writes what was sent, answered and run to `record.txt` in the folder of the script. */
export function createRecord(scriptUrl) {
    const lines = [];
    const startedAt = performance.now();
    const file = fileURLToPath(new URL("record.txt", scriptUrl));
    return {
        add: text => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`),
        save: () => writeFileSync(file, `${lines.join("\n")}\n`),
    };
}

/** Finds a port that is free on `host`. */
export function findPort(host) {
    return new Promise((resolve, reject) => {
        const server = createTcpServer();
        server.on("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });
}

/** The platform's store: a log of keyed topics; answers at once and loses nothing. */
export async function startStore(host) {
    const topics = new Map();
    const getTopic = name => {
        if (!topics.has(name)) {
            topics.set(name, { records: [], waiters: new Set() });
        }
        return topics.get(name);
    };
    const put = (name, key, value) => {
        const topic = getTopic(name);
        topic.records.push({ key: Buffer.from(key), value: Buffer.from(value ?? "") });
        [...topic.waiters].forEach(wake => wake());
    };
    const readBytes = (topic, from) => {
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.records.length), 0);
        const records = topic.records.slice(from).map(({ key, value }) => {
            const length = Buffer.alloc(5);
            length.writeUInt32BE(1 + key.length + value.length);
            length[4] = key.length;
            return Buffer.concat([length, key, value]);
        });
        return Buffer.concat([head, ...records]);
    };
    const server = createServer((message, response) => {
        const url = new URL(message.url, "http://store");
        const name = url.searchParams.get("topic") ?? "";
        const chunks = [];
        message.on("data", chunk => chunks.push(chunk));
        message.on("end", () => {
            const topic = getTopic(name);
            if (url.pathname === "/log-newest") {
                const newest = new Map();
                topic.records.forEach(({ key, value }, offset) =>
                    newest.set(key.toString("latin1"), { key: key.toString(), value, offset })
                );
                const items = [...newest.values()].filter(({ value }) => value.length > 0).map(item => ({
                    ...item,
                    value: item.value.toString("base64"),
                }));
                response.end(JSON.stringify({ items, has_more: false, end: topic.records.length }));
            }
            else if (url.pathname === "/log-read") {
                const from = Number(url.searchParams.get("from"));
                const send = () => {
                    topic.waiters.delete(send);
                    clearTimeout(timer);
                    response.end(readBytes(topic, from));
                };
                const waitMs = topic.records.length > from ? 0 : Number(url.searchParams.get("wait_ms"));
                const timer = setTimeout(send, waitMs);
                topic.waiters.add(send);
            }
            else {
                response.writeHead(503).end();
            }
        });
    });
    const port = await findPort(host);
    await new Promise(resolve => server.listen(port, host, resolve));
    onClose(() => {
        server.close();
        server.closeAllConnections();
    });
    return { address: `${host}:${port}`, put };
}

/** Reads the command of a role from the deploy file. */
function readCommand(role) {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const [, command] = new RegExp(`\\[roles\\.${role}\\][^[]*?run = "([^"]*)"`).exec(text);
    return command.split(" ");
}

/** Bounds of the sheet of the site. */
export const bounds = {
    reuse_after_s: 2,
    stable_window_ms: 3000,
    drain_ms: 2000,
    grace_s: 8,
    loss_slack_ms: 200,
    config_apply_ms: 2000,
    rollback_slack_ms: 250,
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    retry_slack: 207,
    recovery_s: 12,
};

/** Prepares processes of the project; the ports are those of all hosts. */
export async function createPrograms(storeAddress, seedHosts) {
    const folder = mkdtempSync(join(tmpdir(), "beechdock-review-"));
    onClose(() => rmSync(folder, { recursive: true, force: true }));
    const [front, ready, control, internal] = await Promise.all([1, 2, 3, 4].map(() => findPort(seedHosts[0])));
    const ports = { front, ready, control, internal };
    const launch = (role, host, extra = {}) => {
        const file = join(folder, `${role}-${host}.yaml`);
        const isEntry = role === "entry";
        const settings = {
            node_name: `${role}-${host}`,
            role,
            machine_class: isEntry ? "front" : "side",
            ip: host,
            zone: "a",
            region: "r",
            zones: { a: "r" },
            listen: isEntry ?
                { front: `${host}:${front}`, ready: `${host}:${ready}`, control: `${host}:${control}` } :
                {},
            internal_ports: [internal, internal + 10],
            seeds: seedHosts.map(seed => `${seed}:${control}`),
            heartbeat_ms: 1200,
            bounds,
            platform: { address: storeAddress, form: "log", writes_per_s: 400, reads_per_s: 2000 },
            ...extra,
        };
        // JSON is YAML.
        writeFileSync(file, JSON.stringify(settings));
        const [program, ...args] = readCommand(role);
        const child = spawn(program, args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, BEECHDOCK_CONFIG: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const running = { host, child, output: "", end: undefined };
        const collect = chunk => running.output = (running.output + chunk.toString()).slice(-200_000);
        child.stdout.on("data", collect);
        child.stderr.on("data", collect);
        running.ended = new Promise(resolve =>
            child.on("exit", (code, signal) => {
                running.end = signal ?? `code ${code}`;
                resolve(running.end);
            })
        );
        onClose(() => child.kill("SIGKILL"));
        return running;
    };
    const waitReady = async (host, timeoutMs = 15_000) => {
        const startedAt = performance.now();
        while (performance.now() - startedAt < timeoutMs) {
            const answer = await call({ host, port: ready, path: "/ready", timeoutMs: 500 });
            if (answer.status === 200) {
                return true;
            }
            await wait(50);
        }
        return false;
    };
    return { ports, launch, waitReady };
}

/** Sends one request; resolves to what the client has seen. */
export function call({ host, port, method = "GET", path, headers = {}, body, timeoutMs = 9000, agent = false }) {
    return new Promise(resolve => {
        const startedAt = performance.now();
        const answer = { status: 0, headers: {}, body: "", isComplete: false, isReused: false, error: "" };
        const settle = () => {
            clearTimeout(timer);
            answer.ms = Math.round(performance.now() - startedAt);
            resolve(answer);
        };
        const outgoing = request({ host, port, method, path, headers, agent }, response => {
            answer.status = response.statusCode;
            answer.headers = response.headers;
            answer.isReused = outgoing.reusedSocket;
            response.setEncoding("latin1");
            response.on("data", text => answer.body += text);
            response.on("end", () => {
                answer.isComplete = response.complete;
                settle();
            });
            response.on("error", error => {
                answer.error = error.message;
                settle();
            });
        });
        const timer = setTimeout(() => {
            answer.error = "no answer in time";
            outgoing.destroy();
            settle();
        }, timeoutMs);
        outgoing.on("error", error => {
            answer.error ||= error.message;
            answer.isReused = outgoing.reusedSocket;
            settle();
        });
        outgoing.end(body);
    });
}

/** Runs a case; exits with 1 if it returns true (the rule was broken), with 0 if not, with 2 if it could not run. */
export async function runCase(record, play) {
    const finish = (code, text) => {
        if (text !== undefined) {
            record.add(text);
        }
        closers.splice(0).reverse().forEach(close => close());
        record.add(`exit ${code}`);
        record.save();
        process.exit(code);
    };
    process.on("uncaughtException", error => finish(2, `the case could not run: ${error.stack}`));
    ["SIGTERM", "SIGINT", "SIGHUP"].forEach(signal => process.on(signal, () => finish(2, `stopped by ${signal}`)));
    finish(await play() ? 1 : 0);
}
