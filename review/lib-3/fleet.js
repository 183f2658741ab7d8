/** Starts the project's programs with the commands of the deploy file, and ends them. */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../..", import.meta.url));

/** Bounds of `cpud-giftaid`, as the platform's settings name them. */
const bounds = {
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
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    retry_slack: 207,
    recovery_s: 12,
    pass_ms: 120,
    stall_ms: 1500,
};

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Returns the command of a role as the deploy file gives it. */
function readCommand(role) {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    return new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]+)"`).exec(text)[1].split(" ");
}

/** Returns a loopback address of this process only. */
export function getHost(index) {
    return `127.${100 + process.pid % 100}.${Math.floor(process.pid / 100) % 250}.${index}`;
}

/** Finds free ports at `host`. */
export async function findPorts(host, count) {
    const servers = await Promise.all(Array.from({ length: count }, () =>
        new Promise(resolve => {
            const server = createServer().listen(0, host, () => resolve(server));
        })));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Creates a fleet without processes; everything ends with `close`. */
export function createFleet(storeAddress) {
    const folder = mkdtempSync(join(tmpdir(), "beechdock-review-"));
    const children = [];
    const launch = (role, name, settings) => {
        const file = join(folder, `${name}.json`);
        // JSON is YAML too.
        writeFileSync(file, JSON.stringify(settings));
        const [command, ...args] = readCommand(role);
        const child = spawn(command, args, {
            cwd: root,
            env: { PATH: process.env.PATH, BEECHDOCK_CONFIG: file },
            stdio: ["ignore", "pipe", "inherit"],
        });
        child.stdout.pipe(
            createWriteStream(process.env.BEECHDOCK_LOGS ? `${process.env.BEECHDOCK_LOGS}/${name}.log` : "/dev/null"),
        );
        children.push(child);
        return child;
    };
    const createSettings = (name, host, machineClass, limits) => ({
        node_name: name,
        machine_class: machineClass,
        serves: [machineClass],
        ip: host,
        zone: "zone-a",
        region: "region",
        zones: { "zone-a": "region" },
        bootstrap: true,
        limits: { cpu_cores: 1, disk_mb: 0, ...limits },
        discovery: "platform",
        entry: "vip",
        heartbeat_ms: 1200,
        bounds,
        platform: { address: storeAddress, form: "log", writes_per_s: 400, reads_per_s: 2000, keep_s: 300 },
    });
    return {
        folder,
        /** Starts an entry; resolves to its address for clients once it is ready. */
        startEntry: async (name, host, internalPort) => {
            const [front, ready, control] = await findPorts(host, 3);
            const child = launch("entry", name, {
                ...createSettings(name, host, "front", { memory_mb: 272, max_fds: 2069, link_mbps: 490 }),
                listen: { front: `${host}:${front}`, ready: `${host}:${ready}`, control: `${host}:${control}` },
                internal_ports: [internalPort, internalPort + 15],
                seeds: [`${host}:${control}`],
            });
            for (let tries = 0; await fetchStatus(host, ready, "/ready") !== 200; tries++) {
                if (tries > 300) {
                    throw new Error(`${name} is not ready`);
                }
                await wait(50);
            }
            return { host, port: front, control: `${host}:${control}`, child };
        },
        /** Starts a slot beside the server at `app`; resolves once it listens. */
        startSlot: (name, host, internalPort, app, seeds) =>
            new Promise((resolve, reject) => {
                const child = launch("slot", name, {
                    ...createSettings(name, host, "side", { memory_mb: 218, max_fds: 1494, link_mbps: 14 }),
                    listen: {},
                    internal_ports: [internalPort, internalPort + 15],
                    seeds,
                    app,
                    service: "pool",
                });
                child.stdout.on("data", chunk => chunk.includes("The slot listens.") && resolve(child));
                child.once("exit", () => reject(new Error(`${name} has ended`)));
            }),
        close: async () => {
            const ended = children.map(child =>
                child.exitCode !== null || child.signalCode !== null ?
                    undefined :
                    new Promise(resolve => child.once("exit", resolve))
            );
            children.forEach(child => child.kill("SIGKILL"));
            await Promise.all(ended);
            rmSync(folder, { recursive: true, force: true });
        },
        hasEnded: () => children.some(child => child.exitCode !== null || child.signalCode !== null),
    };
}

function fetchStatus(host, port, path) {
    return new Promise(resolve => {
        const call = request({ host, port, path, agent: false, timeout: 1000 }, response => {
            response.resume();
            resolve(response.statusCode);
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => resolve(0));
        call.end();
    });
}

/** Creates an `op/config` with one service of model servers and the given routes to it. */
export function createConfig(version, routes, slots, experts = {}) {
    const engine = {
        slots,
        kv_capacity_tokens: 248_000,
        stride: 5,
        step_ms: 5.85,
        per_seq_ms: 0.5325,
        context_per_k: 0.054,
        read_per_s: 61_200,
        pairs_per_m: 0.325,
        chunk: 512,
        usual: { prompt: 835, answer: 139 },
        ...experts,
    };
    return {
        version,
        routes: routes.map(route => ({ host: "review.example", service: "pool", public: false, ...route })),
        services: [{ name: "pool", health_path: "/health", max_connections: 580, engine }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 5000,
            idle_timeout_ms: 10_000,
        },
        tenants: [{ name: "tenant", api_keys: ["review-key"] }],
    };
}
