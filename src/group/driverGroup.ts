/** Starts a slot's part in its group: the switch and the plan. */
import type { ConfigDocument } from "../config/schemas.js";
import type { SlotSettings } from "../config/settings.js";
import type { InstanceRecord } from "../core/types.js";
import type { LogClient } from "../log/types.js";
import type { AuditEvent } from "../observe/audit.js";
import type { Logger } from "../observe/logger.js";
import type { RpcMethods } from "../wire/rpc.js";
import { startPlanDriver } from "./driverPlan.js";
import { startGroupDriver } from "./driverSwitch.js";

export interface GroupService {
    methods: RpcMethods;
    setDocument: (document: ConfigDocument | undefined) => void;
    setInstances: (instances: InstanceRecord[]) => void;
    close: () => void;
}

/** Starts the part of a slot in its group; undefined for slots without one. */
export function startGroupService(
    settings: SlotSettings,
    log: LogClient,
    logger: Logger,
    audit: (event: AuditEvent) => void,
): GroupService | undefined {
    const { group, instance, upstream: { ordersUrl } } = settings;
    if (group === undefined || ordersUrl === undefined) {
        return undefined;
    }
    const driver = startGroupDriver({ identity: settings, instance, group, ordersUrl, log, logger, audit });
    const plan = startPlanDriver(settings, ordersUrl, driver, audit);
    return {
        methods: { ...driver.methods, ...plan.methods },
        setDocument: document => {
            const found = document?.groups.find(candidate => candidate.name === group.name);
            driver.setRanks(found?.ranks ?? 0);
            plan.setGroup(found);
        },
        setInstances: driver.setInstances,
        close: () => {
            driver.close();
            plan.close();
        },
    };
}
