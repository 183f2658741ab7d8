/** A server sends bytes that are not a response: a status line with a number below 100. */
import { createHost, createPrograms, createRecord, hasTrouble, runCase, startStore, wait } from "../lib/harness.js";
import { createConfig, createListEntry, keepRunning, listLost, maxLost, startLoad, startServer } from "../lib/load.js";

/** One of three servers spoils one of 34 of its answers (under 0.03) for 5 s. */
const spoiledEvery = 34;
const troubleMs = 5000;
const record = createRecord(import.meta.url);

await runCase(record, async () => {
    const store = await startStore(createHost(1));
    const entryHosts = [11, 12, 13].map(createHost);
    const programs = await createPrograms(store.address, entryHosts);
    let isFaulty = false;
    let answers = 0;
    const spoil = (message, response) => {
        answers += 1;
        if (!isFaulty || answers % spoiledEvery !== 0) {
            return false;
        }
        const requestId = message.headers["beechdock-request-id"];
        record.add(`s-1 answers ${requestId} with bytes that are no response`);
        response.socket.end(`HTTP/1.1 000 \r\nBeechdock-Request-Id: ${requestId}\r\nContent-Length: 0\r\n\r\n`);
        return true;
    };
    const servers = [
        await startServer(record, { id: "s-1", service: "claims", index: 21, answer: spoil }),
        await startServer(record, { id: "s-2", service: "claims", index: 22 }),
        await startServer(record, { id: "s-3", service: "claims", index: 23 }),
    ];
    store.put(
        "keyed.op",
        "config",
        createConfig(3, [{ path_prefix: "/submit/", kind: "non_idempotent", service: "claims" }], ["claims"]),
    );
    servers.forEach(server => store.put("keyed.servers", server.id, createListEntry(server)));
    let isStopping = false;
    const processes = entryHosts.map(host =>
        keepRunning(record, () => programs.launch("entry", host), () => isStopping)
    );
    for (const host of entryHosts) {
        if (!await programs.waitReady(host)) {
            throw new Error(`${host} is not ready`);
        }
    }
    const load = startLoad(record, {
        hosts: entryHosts,
        port: programs.ports.front,
        path: "/submit/1",
        clients: 24,
        pauseMs: 80,
    });
    await wait(4000);
    isFaulty = hasTrouble;
    record.add(`the server s-1 ${hasTrouble ? "begins to spoil answers" : "stays sound"}`);
    await wait(troubleMs);
    isFaulty = false;
    await wait(2000);
    await load.stop();
    isStopping = true;
    const lost = listLost(load.sent, servers.slice(1));
    lost.forEach(({ id, host, error }) => record.add(`lost: ${id} by ${host}: ${error}`));
    record.add(`ends of processes by themselves: ${processes.map(({ ends }) => ends).join(", ")}`);
    record.add(
        `requests ${load.sent.length}, run by sound servers and lost on kept connections ${lost.length}, allowed ${maxLost}`,
    );
    return lost.length > maxLost;
});
