/** Publishes and promotes a configuration document with the command line and waits until it is active. */
import { runCommand } from "../command/main.js";
import type { Cluster } from "./cluster.js";
import type { ProgramProcess } from "./program.js";

/** The parts of a cluster that publishing needs. */
export interface PublishTarget extends Pick<Cluster, "writeFile"> {
    log: { url: string; };
    entries: { process: ProgramProcess; }[];
    slots: { process: ProgramProcess; }[];
}

/**
 * Resolves when every process has activated a revision and the entries know their upstreams. Throws when the command
 * fails.
 */
export async function publishDocument(cluster: PublishTarget, document: object): Promise<void> {
    const file = cluster.writeFile("document.yaml", document);
    for (const argv of [["publish", file], ["promote"]]) {
        if (await runCommand([...argv, "--log", cluster.log.url, "--author", "demo"]) !== 0) {
            throw new Error(`beechdock ${argv[0]} failed`);
        }
    }
    await Promise.all(
        [...cluster.entries, ...cluster.slots].map(member =>
            member.process.waitForLine(line => line.msg.endsWith("A revision is in force."))
        ),
    );
    await Promise.all(
        cluster.entries.map(entry => entry.process.waitForLine(line => line.msg.endsWith("The upstreams are known."))),
    );
}
