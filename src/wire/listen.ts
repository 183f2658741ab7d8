/** Binds servers to addresses. */
import type { Server } from "node:net";

/** Address to listen on or connect to. */
export interface Address {
    host: string;
    port: number;
}

/** Binds a server and resolves to its port; rejects if the address cannot be bound. */
export function listenOn(server: Server, host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, exclusive: true }, () => resolve((server.address() as { port: number; }).port));
    });
}
