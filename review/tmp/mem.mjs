import { readFileSync } from "node:fs";
import { Connection, createConfig, createServer, hostOf, nextId, now, ports, runCase, sleep } from "../lib-2/bed.mjs";
const N = Number(process.argv[2]), size = Number(process.argv[3]), work = Number(process.argv[4]);
await runCase(import.meta.url, async ({ record, programs, store, closers }) => {
    const service = [11, 12, 13].map(index => createServer({ id: `i-${index}`, host: hostOf(index), service: "s", record, workMs: work }));
    for (const server of service) { await server.listen(); closers.push(server.close); store.put("keyed.servers", server.id, server.entryOf()); }
    store.put("keyed.op", "config", createConfig({ routes: [{ name: "r", path_prefix: "/c/", kind: "non_idempotent", service: "s", max_attempts: 1, timeout_ms: 8000 }], services: ["s"] }));
    const endpoint = await store.open(hostOf(4));
    const e = programs.create({ name: "front-1", role: "entry", host: hostOf(1), store: endpoint.address, seeds: [`${hostOf(1)}:${ports.control}`] });
    await e.launch(); await e.waitReady();
    const rss = () => { try { return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${e.child.pid}/status`, "latin1"))[1]) / 1024; } catch { return NaN; } };
    let max = 0, run = true; const mon = (async () => { while (run) { max = Math.max(max, rss()); await sleep(20); } })();
    console.log("idle", rss());
    const body = "x".repeat(size); const st = {};
    const until = now() + 8000;
    await Promise.all(Array.from({ length: N }, async () => { const c = new Connection(hostOf(1)); await c.open();
        while (now() < until && !c.isClosed) { const t = now(); const a = await c.request({ id: nextId(), method: "POST", path: "/c/x", deadlineMs: 8000, body }); st[a.status] = (st[a.status] ?? 0) + 1; await sleep(200 * Math.random()); } c.close(); }));
    run = false; console.log(N, size, work, "max rss", max, JSON.stringify(st), e.exit);
    return { isBroken: false, text: "" };
});
