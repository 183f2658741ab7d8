/**
 * A try, not a case: the side machines are lost, and with them the slot that tells entries of new configurations. The
 * operator moves routes between two services; clients ask each of 18 entries who serves them. Prints what was seen and
 * exits with 1 if a request that was sent over 2 s after an acknowledgement was run by the old service.
 */
import { Agent, createServer, request } from "node:http";
import { createConfig, createFleet, findPorts, getHost, wait } from "../lib-3/fleet.js";
import { startRankGroup } from "../lib-3/rankGroup.js";
import { startStore } from "../lib-3/store.js";

const hasTrouble = process.env.TROUBLE !== "0";
const runMs = Number(process.env.RUN_MS ?? 90_000);
const entryCount = 18;
const slotCount = 5;
const routeCount = 8;
const idleRoutes = Number(process.env.IDLE ?? 60);
const askEveryMs = 25;
const versionEveryMs = { min: 1200, max: 1800 };
/** `config_apply_ms` of the settings. */
const applyMs = 2000;
const dimensions = { sets: 2, experts: 20, placements: 6, spare: 4 };

function startServer(host, service) {
    const server = createServer((message, response) => {
        message.resume();
        response.writeHead(200, {
            "Beechdock-Request-Id": message.headers["beechdock-request-id"],
            "Beechdock-Server-Signature": `s.${service}`,
            "Content-Length": "4",
        }).end("done");
    });
    server.keepAliveTimeout = 60_000;
    return new Promise(resolve => server.listen(0, host, () => resolve(`${host}:${server.address().port}`)));
}

async function main() {
    const store = await startStore(getHost(1));
    const fleet = createFleet(store.address);
    const group = await startRankGroup({
        hosts: Array.from({ length: slotCount }, (ignored, index) => getHost(40 + index)),
        ...dimensions,
        isOrderLate: () => false,
        onOrder: () => undefined,
        onMixedPass: () => undefined,
    });
    try {
        const services = ["alpha", "beta"];
        const addresses = await Promise.all(
            services.map((service, index) => startServer(getHost(50 + index), service)),
        );
        const born = Date.now();
        const entry = (service, address, more) =>
            JSON.stringify({
                service,
                address,
                zone: "zone-a",
                version: "v1",
                slots: 60,
                state: "ready",
                cold_remaining_ms: 0,
                sequence: 1,
                born,
                ...more,
            });
        services.forEach((service, index) =>
            store.put("keyed.servers", `i-${service}`, entry(service, addresses[index]))
        );
        group.ranks.forEach(({ id, host, port, rank }) =>
            store.put(
                "keyed.servers",
                id,
                entry("pool", `${host}:${port}`, {
                    stage: "both",
                    models: [{ name: "m", version: 1, adapters: [] }],
                    group: { name: "g", epoch: 1, rank, state: "open" },
                    size: slotCount,
                }),
            )
        );
        /** By route: its service, the version that gave it, when that was sent and acknowledged. */
        const moves = Array.from({ length: routeCount }, () => [{ service: "alpha", version: 1, ackedAt: 0 }]);
        const plain = { kind: "idempotent", timeout_ms: 2000, target_latency_ms: 400, priority: 2, max_attempts: 2 };
        const putConfig = version => {
            const routes = moves.map((list, index) => ({
                name: `move-${index}`,
                path_prefix: `/move-${index}/`,
                ...plain,
                service: list.at(-1).service,
            }));
            const idle = Array.from({ length: idleRoutes }, (ignored, index) => ({
                name: `idle-${index}`,
                path_prefix: `/idle-${index}/`,
                ...plain,
                service: "alpha",
            }));
            const config = createConfig(version, [...routes, ...idle], 60, { ...dimensions, form_ms: 600 });
            config.services.push(...services.map(name => ({ name, health_path: "/health", max_connections: 580 })));
            store.put("keyed.op", "config", JSON.stringify(config));
        };
        putConfig(1);
        const [internalPort] = await findPorts(getHost(2), 1);
        const entries = await Promise.all(
            Array.from(
                { length: entryCount },
                (ignored, index) => fleet.startEntry(`front-${index}`, getHost(2 + index), internalPort),
            ),
        );
        const slots = await Promise.all(
            group.ranks.map(({ host, port, rank }) =>
                fleet.startSlot(`side-${rank}`, host, internalPort, `${host}:${port}`, [entries[0].control])
            ),
        );
        await wait(5000);
        if (hasTrouble) {
            slots.forEach(slot => slot.kill("SIGKILL"));
        }
        await wait(4000);
        const beginAt = performance.now();
        const counts = { answered: 0, other: 0, late: 0 };
        const faults = new Map();
        const lags = [];
        let version = 1;
        let nextVersionAt = beginAt;
        const ask = (index, route) => {
            const { host, port, agent } = entries[index];
            const id = `ask-${index}-${route}-${counts.answered + counts.other}-${Math.random().toString(36).slice(2)}`;
            const sentAt = performance.now();
            const call = request({
                host,
                port,
                agent,
                path: `/move-${route}/x`,
                headers: {
                    Host: "review.example",
                    "Beechdock-Request-Id": id,
                    "Beechdock-Request-Deadline": "2000",
                    "X-Api-Key": "review-key",
                },
            }, response => {
                response.resume();
                const service = response.headers["beechdock-server-signature"]?.slice(2);
                if (response.statusCode !== 200 || service === undefined) {
                    counts.other += 1;
                    return;
                }
                counts.answered += 1;
                const list = moves[route];
                const last = list.at(-1);
                const lateMs = sentAt - last.ackedAt;
                if (service === last.service) {
                    return;
                }
                lags.push(lateMs);
                if (lateMs > applyMs) {
                    counts.late += 1;
                    const key = `front-${index} version ${last.version}`;
                    faults.set(key, Math.max(faults.get(key) ?? 0, lateMs));
                }
            });
            call.on("error", () => counts.other += 1);
            call.end();
        };
        entries.forEach(e => e.agent = new Agent({ keepAlive: true, maxSockets: 8 }));
        while (performance.now() - beginAt < runMs) {
            const now = performance.now();
            if (now >= nextVersionAt && now - beginAt < runMs - 3000) {
                version += 1;
                const list = moves[version % routeCount];
                list.push({ service: list.at(-1).service === "alpha" ? "beta" : "alpha", version, ackedAt: Infinity });
                putConfig(version);
                list.at(-1).ackedAt = performance.now();
                nextVersionAt = now + versionEveryMs.min + Math.random() * (versionEveryMs.max - versionEveryMs.min);
            }
            const recent = [version, version - 1].filter(v => v > 1).map(v => v % routeCount);
            entries.forEach((ignored, index) => recent.forEach(route => ask(index, route)));
            await wait(askEveryMs);
        }
        await wait(500);
        lags.sort((a, b) => b - a);
        const summary = [
            `trouble: ${hasTrouble}; versions: ${version}; requests answered: ${counts.answered}, other: ${counts.other}; ` +
            `longest time after an acknowledgement at which the old service ran: ${
                lags.slice(0, 5).map(Math.round)
            } ms; ` +
            `requests that break CONFIG: ${counts.late}`,
            ...[...faults].map(([key, ms]) => `${key}: ${ms.toFixed(1)} ms`),
        ];
        console.log(summary.join("\n"));
        return counts.answered < 1000 ? 2 : counts.late > 0 ? 1 : 0;
    }
    finally {
        await fleet.close();
        group.close();
    }
}

process.exit(
    await main().catch(error => {
        console.error(error);
        return 2;
    }),
);
