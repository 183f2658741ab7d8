/** An entry gets SIGTERM; streams that are sent on kept connections a little more than 3 s later are cut. */
import { createHost, createPrograms, createRecord, hasTrouble, runCase, startStore, wait } from "../lib/harness.js";
import { createConfig, createListEntry } from "../lib/load.js";
import { createStreamClient, startModelServer } from "../lib/streams.js";

/** Time from SIGTERM to the streams, spread over the clients. */
const firstSendMs = 3040;
const sendSpreadMs = 100;
const clientCount = 12;
const record = createRecord(import.meta.url);

await runCase(record, async () => {
    const store = await startStore(createHost(1));
    const entryHost = createHost(11);
    const programs = await createPrograms(store.address, [entryHost]);
    const plan = path => path === "/draft/short" ? { events: 5, gapMs: 40 } : { events: 52, gapMs: 90 };
    const servers = [
        await startModelServer(record, { id: "m-1", index: 21, plan }),
        await startModelServer(record, { id: "m-2", index: 22, plan }),
        await startModelServer(record, { id: "m-3", index: 23, plan }),
    ];
    const route = { path_prefix: "/draft/", kind: "streaming", service: "models", target_gap_ms: 120 };
    store.put("keyed.op", "config", createConfig(3, [{ ...route, stream_resume: true }], ["models"]));
    servers.forEach(server => store.put("keyed.servers", server.id, createListEntry(server)));
    const entry = programs.launch("entry", entryHost);
    if (!await programs.waitReady(entryHost)) {
        throw new Error("the entry is not ready");
    }
    const target = { host: entryHost, port: programs.ports.front };
    const clients = Array.from({ length: clientCount }, () => createStreamClient(record, target));
    await Promise.all(clients.map(({ send }, client) => send(`c${client}-short`, "/draft/short")));
    await wait(500);
    const termAt = performance.now();
    if (hasTrouble) {
        record.add("SIGTERM");
        entry.child.kill("SIGTERM");
    }
    const answers = await Promise.all(clients.map(async ({ send }, client) => {
        await wait(firstSendMs + client * sendSpreadMs / clientCount);
        return send(`c${client}-long`, "/draft/long");
    }));
    if (hasTrouble) {
        await entry.ended;
        record.add(`the entry has ended ${((performance.now() - termAt) / 1000).toFixed(1)} s after SIGTERM`);
    }
    const lost = answers.filter(({ isComplete, events }) => !isComplete && events > 0);
    lost.forEach(({ id, events, sentAt, ms }) => {
        const sentAfter = Math.round(sentAt - termAt);
        record.add(
            `lost: ${id}, sent ${sentAfter} ms after SIGTERM, cut after ${events} events, ${
                sentAfter + ms
            } ms after it`,
        );
    });
    const unread = answers.filter(({ isComplete, events }) => !isComplete && events === 0);
    record.add(`streams ${answers.length}, not taken ${unread.length}, cut ${lost.length}, allowed 0`);
    return lost.length > 0;
});
