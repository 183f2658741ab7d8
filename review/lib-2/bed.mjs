// A small deployment for the scripts of this review: the programs of the deploy file as processes, and stand-ins of the
// platform's store, of servers and of clients that speak what the pages say. All addresses are loopback addresses.
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const root = fileURLToPath(new URL("../..", import.meta.url));
export const trouble = process.env.TROUBLE !== "0";
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const now = () => performance.now();

/** A subnet of the loopback range of this run alone, so that several runs can be in progress at once. */
const [high, low] = [1 + ((process.pid >> 8) & 0x7f), process.pid & 0xff];
export const hostOf = index => `127.${high}.${low}.${index}`;

/** Writes what was sent, answered and run to a file beside the script. */
export function openRecord(scriptUrl) {
    const file = join(dirname(fileURLToPath(scriptUrl)), "record.txt");
    writeFileSync(file, "");
    const startedAt = now();
    let lines = [];
    const flush = () => {
        appendFileSync(file, lines.join(""));
        lines = [];
    };
    const timer = setInterval(flush, 200);
    return {
        write: text => lines.push(`${((now() - startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}\n`),
        close: () => {
            clearInterval(timer);
            flush();
        },
    };
}

/** The command of a role in the deploy file, as a list of words. */
export function readCommand(role) {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const section = text.split(/^\[/m).find(part => part.startsWith(`roles.${role}]`));
    return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

/** Asks for a path; resolves to the status, 0 without a response in time. */
export function fetchStatus(host, port, path, timeoutMs = 1000) {
    return new Promise(resolve => {
        const request = http.get({ host, port, path, agent: false, timeout: timeoutMs }, response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode));
        });
        request.on("timeout", () => request.destroy());
        request.on("error", () => resolve(0));
    });
}

export const ports = { front: 18080, ready: 18081, control: 18082, internal: 18083, server: 18084, store: 18085 };

export const bounds = {
    seed_lag_s: 3,
    reuse_after_s: 2,
    stable_window_ms: 3000,
    ack_ms: 4000,
    catch_up_s: 4,
    drain_ms: 2000,
    grace_s: 8,
    loss_slack_ms: 200,
    config_apply_ms: 2000,
    rollback_slack_ms: 250,
    max_stretch_ms: 5000,
    strict_revoke: false,
    revoke_ms: 5000,
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    retry_slack: 207,
    recovery_s: 12,
    pass_ms: 120,
    retry_after_s: 0,
    stall_ms: 1500,
    enforce_fencing: false,
};

/** Starts programs of the deploy file; `maxFds` is the limit of descriptors that the settings name. */
export function createPrograms(record) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const children = new Set();
    const settingsOf = ({ name, role, host, zone = "z1", zones = { z1: "r1" }, store, seeds, maxFds, app }) => ({
        node_name: name,
        role,
        machine_class: role === "slot" ? "side" : "front",
        serves: role === "slot" ? ["side"] : ["front", "control"],
        ip: host,
        zone,
        region: "r1",
        zones,
        listen: role === "slot" ? {} : {
            front: `${host}:${ports.front}`,
            ready: `${host}:${ports.ready}`,
            control: `${host}:${ports.control}`,
        },
        internal_ports: [ports.internal, ports.internal],
        seeds,
        app,
        bootstrap: true,
        counts_toward_tolerance: false,
        limits: { cpu_share: 0.459, cpu_cores: 1, memory_mb: 272, max_fds: maxFds ?? 2069, link_mbps: 490, disk_mb: 0 },
        data_dir: null,
        discovery: "platform",
        entry: "vip",
        heartbeat_ms: 1200,
        tolerate: { machines: 1, zones: 1, regions: 0 },
        bounds,
        platform: { address: store, form: "log", writes_per_s: 400, reads_per_s: 2000, parts: 12, keep_s: 300 },
    });
    return {
        folder,
        create: options => {
            const { name, role, maxFds } = options;
            const file = join(folder, `${name}.yaml`);
            let settings = settingsOf(options);
            const write = () => writeFileSync(file, JSON.stringify(settings));
            write();
            const program = { name, host: options.host, child: undefined, output: "" };
            program.changeSettings = change => {
                settings = change(settings);
                write();
            };
            program.launch = async () => {
                const [command, ...words] = readCommand(role);
                const limited = maxFds === undefined ?
                    [command, words] :
                    ["bash", ["-c", `ulimit -n ${maxFds} && exec "$0" "$@"`, command, ...words]];
                const child = spawn(...limited, {
                    cwd: root,
                    env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, BEECHDOCK_CONFIG: file },
                    stdio: ["ignore", "pipe", "pipe"],
                });
                children.add(child);
                program.child = child;
                program.exit = undefined;
                for (const stream of [child.stdout, child.stderr]) {
                    stream.on("data", chunk => program.output = (program.output + chunk).slice(-400_000));
                }
                child.on("exit", (code, signal) => {
                    children.delete(child);
                    program.exit = { code, signal };
                    record.write(`process ${name} ended: code ${code}, signal ${signal}`);
                });
                record.write(`process ${name} started`);
            };
            program.waitReady = async (timeoutMs = 15_000) => {
                const until = now() + timeoutMs;
                while (await fetchStatus(options.host, ports.ready, "/ready") !== 200) {
                    if (now() > until || program.exit !== undefined) {
                        throw new Error(`${name} is not ready:\n${program.output.slice(-2000)}`);
                    }
                    await sleep(50);
                }
            };
            program.signal = signal => {
                record.write(`signal ${signal} to ${name}`);
                program.child.kill(signal);
            };
            return program;
        },
        stop: async () => {
            children.forEach(child => child.kill("SIGKILL"));
            const until = now() + 3000;
            while (children.size > 0 && now() < until) {
                await sleep(20);
            }
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** The platform's store: keyed topics with one partition, linearizable, nothing lost. */
export function createStore() {
    const topics = new Map();
    const servers = [];
    const topicOf = name => {
        const topic = topics.get(name) ?? { records: [], waiters: new Set() };
        topics.set(name, topic);
        return topic;
    };
    const put = (name, key, value) => {
        const topic = topicOf(name);
        topic.records.push({ key, value });
        [...topic.waiters].forEach(wake => wake());
        return topic.records.length - 1;
    };
    const encode = ({ key, value }) => {
        const name = Buffer.from(key);
        const content = Buffer.concat([Buffer.from([name.length]), name, Buffer.from(value ?? "")]);
        const length = Buffer.alloc(4);
        length.writeUInt32BE(content.length);
        return Buffer.concat([length, content]);
    };
    const handlers = {
        "POST /log-append": (url, message, response) => {
            const chunks = [];
            message.on("data", chunk => chunks.push(chunk));
            message.on("end", () => {
                const name = url.searchParams.get("topic");
                if (name === "keyed.op" || name === "keyed.servers") {
                    response.writeHead(403).end();
                    return;
                }
                const body = Buffer.concat(chunks);
                const offset = topicOf(name).records.length;
                for (let at = 0; at + 4 < body.length; at += 4 + body.readUInt32BE(at)) {
                    const content = body.subarray(at + 4, at + 4 + body.readUInt32BE(at));
                    const value = content.subarray(1 + content[0]).toString();
                    put(name, content.toString("utf8", 1, 1 + content[0]), value === "" ? undefined : value);
                }
                response.end(JSON.stringify({ offset, end: topicOf(name).records.length }));
            });
        },
        "GET /log-newest": (url, message, response) => {
            const { records } = topicOf(url.searchParams.get("topic"));
            const newest = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]));
            const items = [...newest.values()].filter(({ value }) => value !== undefined)
                .map(({ key, value, offset }) => ({ key, value: Buffer.from(value).toString("base64"), offset }));
            response.end(JSON.stringify({ items, has_more: false, end: records.length }));
        },
        "GET /log-read": (url, message, response) => {
            const topic = topicOf(url.searchParams.get("topic"));
            const from = Number(url.searchParams.get("from"));
            const send = () => {
                clearTimeout(timer);
                topic.waiters.delete(send);
                const header = Buffer.alloc(16);
                header.writeBigUInt64BE(BigInt(topic.records.length), 0);
                response.end(Buffer.concat([header, ...topic.records.slice(from).map(encode)]));
            };
            const waitMs = topic.records.length > from ? 0 : Number(url.searchParams.get("wait_ms") ?? 0);
            const timer = setTimeout(send, waitMs);
            topic.waiters.add(send);
        },
    };
    return {
        put,
        /** Opens an address of the store; `filter(path)` returning a status refuses a call with it. */
        open: host =>
            new Promise(resolve => {
                const endpoint = { address: `${host}:${ports.store}`, filter: () => undefined, close: undefined };
                const server = http.createServer((message, response) => {
                    const url = new URL(message.url, "http://store");
                    const refusal = endpoint.filter(`${url.pathname}?${url.searchParams.get("topic")}`, message);
                    if (refusal === "reset") {
                        message.socket.resetAndDestroy();
                    }
                    else if (refusal !== undefined) {
                        response.writeHead(refusal).end();
                    }
                    else {
                        // An answer takes 4 ms.
                        setTimeout(() => handlers[`${message.method} ${url.pathname}`](url, message, response), 4);
                    }
                });
                servers.push(server);
                endpoint.close = () => {
                    server.close();
                    server.closeAllConnections();
                };
                server.listen(ports.store, host, () => resolve(endpoint));
            }),
        close: () => servers.forEach(server => (server.close(), server.closeAllConnections())),
    };
}

/** A server of a service; `runs` counts the runs by request id. */
export function createServer({ id, host, service, workMs = 15, onRun, respond }) {
    const runs = new Map();
    const server = http.createServer({ keepAliveTimeout: 5000 }, (message, response) => {
        const chunks = [];
        message.on("data", chunk => chunks.push(chunk));
        message.on("error", () => undefined);
        message.on("end", () => {
            const requestId = String(message.headers["beechdock-request-id"]);
            const expected = message.headers["beechdock-expected-instance"];
            if (expected !== undefined && expected !== id) {
                response.writeHead(421, { "beechdock-request-id": requestId, "beechdock-not-executed": "1", "content-length": 0 });
                response.end();
                return;
            }
            if (message.url === "/health") {
                response.writeHead(200, { "beechdock-instance-id": id, "content-length": 0 }).end();
                return;
            }
            runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
            onRun?.(requestId, message);
            if (respond !== undefined) {
                respond({ requestId, message, response, body: Buffer.concat(chunks) });
                return;
            }
            setTimeout(() => {
                const body = `${requestId} by ${id}`;
                response.writeHead(200, {
                    "beechdock-request-id": requestId,
                    "beechdock-server-signature": `${id}.${requestId}`,
                    "content-length": body.length,
                });
                response.end(body);
            }, workMs);
        });
    });
    const born = Date.now();
    return {
        id,
        host,
        runs,
        listen: () => new Promise(resolve => server.listen(ports.server, host, 4096, resolve)),
        entryOf: (state = "ready", sequence = 1) =>
            JSON.stringify({
                service,
                address: `${host}:${ports.server}`,
                zone: "z1",
                version: "1",
                slots: 64,
                state,
                cold_remaining_ms: 0,
                sequence,
                born,
            }),
        close: () => (server.close(), server.closeAllConnections()),
    };
}

export function createConfig({ version = 1, routes, services, tenants, limits = {} }) {
    return JSON.stringify({
        version,
        routes: routes.map(route => ({ host: "shop.example", timeout_ms: 2000, target_latency_ms: 200, priority: 1, ...route })),
        services: services.map(name => ({ name, health_path: "/health", max_connections: 4000 })),
        limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000, ...limits },
        tenants,
    });
}

let requestCount = 0;
export const nextId = () => `${(++requestCount).toString(16).padStart(8, "0")}${process.pid.toString(16).padStart(8, "0")}`;

/** A connection of a client that is kept; one request at a time. */
export class Connection {
    constructor(host, port = ports.front) {
        this.target = { host, port };
        this.pending = undefined;
        this.buffer = Buffer.alloc(0);
        this.isOpen = false;
        this.isClosed = false;
    }

    open() {
        return new Promise(resolve => {
            this.socket = net.connect({ ...this.target, noDelay: true });
            this.socket.on("connect", () => {
                this.isOpen = true;
                resolve(true);
            });
            this.socket.on("data", chunk => this.receive(chunk));
            const close = () => {
                this.isClosed = true;
                resolve(false);
                this.pending?.({ status: 0 });
                this.pending = undefined;
            };
            this.socket.on("error", close);
            this.socket.on("close", close);
        });
    }

    receive(chunk) {
        this.buffer = Buffer.concat([this.buffer, chunk]);
        const headEnd = this.buffer.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return;
        }
        const head = this.buffer.toString("latin1", 0, headEnd);
        const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
        if (this.buffer.length < headEnd + 4 + length) {
            return;
        }
        const body = this.buffer.toString("latin1", headEnd + 4, headEnd + 4 + length);
        this.buffer = this.buffer.subarray(headEnd + 4 + length);
        const resolve = this.pending;
        this.pending = undefined;
        resolve?.({ status: Number(head.slice(9, 12)), head, body });
    }

    /** Sends a request; resolves to its answer, status 0 if the connection ends and -1 if none comes in time. */
    request({ id, method = "GET", path, deadlineMs, headers = {}, body = "", isBodyLater = false }) {
        return new Promise(resolve => {
            const timer = setTimeout(() => settle({ status: -1 }), deadlineMs);
            const settle = answer => {
                clearTimeout(timer);
                this.pending = undefined;
                resolve(answer);
            };
            if (this.isClosed) {
                settle({ status: 0 });
                return;
            }
            this.pending = settle;
            const lines = [
                `${method} ${path} HTTP/1.1`,
                "Host: shop.example",
                `Beechdock-Request-Id: ${id}`,
                `Beechdock-Request-Deadline: ${deadlineMs}`,
                ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
                ...(method === "GET" || isBodyLater ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
                "",
                body,
            ];
            this.socket.write(lines.join("\r\n"));
        });
    }

    close() {
        this.isClosed = true;
        this.socket.destroy();
    }
}

/** Ends the script with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. */
export async function runCase(scriptUrl, play) {
    const record = openRecord(scriptUrl);
    const programs = createPrograms(record);
    const store = createStore();
    const closers = [];
    let code = 2;
    const limit = setTimeout(() => {
        record.write("the script takes too long");
        record.close();
        void programs.stop().then(() => process.exit(2));
    }, 110_000);
    try {
        record.write(`TROUBLE ${trouble ? "on" : "off"}`);
        const verdict = await play({ record, programs, store, closers });
        code = verdict.isBroken ? 1 : 0;
        record.write(`${verdict.isBroken ? "BROKEN" : "HELD"}: ${verdict.text}`);
        console.log(`${verdict.isBroken ? "BROKEN" : "HELD"}: ${verdict.text}`);
    }
    catch (error) {
        record.write(`the case could not run: ${error.stack}`);
        console.log(`could not run: ${error.message}`);
    }
    clearTimeout(limit);
    closers.forEach(close => close());
    await programs.stop();
    store.close();
    record.close();
    process.exit(code);
}

export { mkdirSync };
