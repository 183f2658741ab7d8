// Case 9: an entry starts while one partition of the store is down, just after a server's entry was removed. What a peer hands
// over, which has not read of the removal yet, brings the server back, and the entry sends requests to it for good.
import { Connection, createConfig, createServer, hostOf, nextId, now, ports, runCase, sleep, trouble } from "../lib-2/bed.mjs";

const stableWindowMs = 3000;
const timeoutMs = 1000;
/** Duration of the outage of the partition of `op/config`. */
const outageMs = 4500;
/** Time for which requests are sent once the new entry and the store are undisturbed for `stable_window_ms`. */
const judgedMs = 6000;

await runCase(import.meta.url, async ({ record, programs, store, closers }) => {
    const servers = [11, 12, 13].map(index => createServer({ id: `i-${index}`, host: hostOf(index), service: "status" }));
    for (const server of servers) {
        await server.listen();
        closers.push(server.close);
        store.put("keyed.servers", server.id, server.entryOf());
    }
    const [leaving] = servers;
    store.put(
        "keyed.op",
        "config",
        createConfig({
            routes: [{ name: "status", path_prefix: "/status/", kind: "idempotent", service: "status", max_attempts: 2, timeout_ms: timeoutMs }],
            services: ["status"],
        }),
    );
    const endpoint = await store.open(hostOf(4));
    const newEndpoint = await store.open(hostOf(5));
    let isDown = false;
    let listReadAt = -Infinity;
    endpoint.filter = path => {
        listReadAt = path.endsWith("keyed.servers") ? now() : listReadAt;
        return isDown && path.endsWith("keyed.op") ? 503 : undefined;
    };
    newEndpoint.filter = path => isDown && path.endsWith("keyed.op") ? 503 : undefined;
    const seeds = [`${hostOf(1)}:${ports.control}`];
    const [first, added] = [[1, endpoint], [2, newEndpoint]].map(([index, { address }]) =>
        programs.create({ name: `front-${index}`, role: "entry", host: hostOf(index), store: address, seeds })
    );
    await first.launch();
    await first.waitReady();
    // The store has had no disruption for longer than `stable_window_ms` when the server's entry is removed.
    await sleep(stableWindowMs + 1000);
    const seen = listReadAt;
    while (listReadAt === seen) {
        await sleep(5);
    }
    await sleep(50);
    store.put("keyed.servers", leaving.id, undefined);
    const removedAt = now();
    record.write(`the entry of ${leaving.id} is removed; the server goes on serving`);
    if (trouble) {
        isDown = true;
        record.write("the partition of op/config is down");
    }
    await added.launch();
    await sleep(outageMs);
    isDown = false;
    const stableAt = now() + stableWindowMs;
    record.write("all partitions serve");
    await added.waitReady();
    await sleep(Math.max(0, stableAt - now()) + 500);

    const counts = { sent: 0, answered: 0 };
    const late = [];
    const until = now() + judgedMs;
    while (now() < until) {
        const id = nextId();
        counts.sent += 1;
        record.write(`${id} sent to ${added.name}`);
        const connection = new Connection(added.host);
        await connection.open();
        const { status } = await connection.request({ id, path: "/status/x", deadlineMs: 2000 });
        connection.close();
        const server = servers.find(({ runs }) => runs.has(id));
        record.write(`${id} answered ${status}${server === undefined ? "" : `, run by ${server.id}`}`);
        counts.answered += Number(status === 200);
        if (server === leaving) {
            late.push((now() - removedAt) / 1000);
        }
        await sleep(50);
    }
    // DRAIN: a request reaches a server later than drain_ms after the store acknowledged that it is gone.
    const text = `of ${counts.sent} requests to the entry that was added, ${counts.answered} answered with 200, ` +
        `${late.length} ran at the server that had gone ${late.length === 0 ? "" : `${late[0].toFixed(1)} to ${late.at(-1).toFixed(1)} s `}before`;
    return { isBroken: late.length > 0, text };
});
