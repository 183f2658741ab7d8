/** Binds servers to their configured addresses. */
import type { Server } from "node:net";

/** Address of a listener. */
export interface Address {
    host: string;
    port: number;
}

/** Binds a server; rejects when the address is taken. */
export function listenOn(server: Server, host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, exclusive: true }, () => resolve((server.address() as { port: number; }).port));
    });
}
