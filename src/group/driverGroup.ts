/**
 * Starts the work of a slot (the process beside one rank's engine) in its group: the switch and the planning of expert
 * maps.
 */
import type { ConfigDocument } from "../config/schemas.js";
import type { SlotSettings } from "../config/settings.js";
import type { InstanceRecord } from "../core/types.js";
import type { LogClient } from "../log/types.js";
import type { AuditEvent } from "../observe/audit.js";
import type { Logger } from "../observe/logger.js";
import type { RpcMethods } from "../wire/rpc.js";
import { startPlanDriver } from "./driverPlan.js";
import { startSwitchDriver } from "./driverSwitch.js";

/** A slot's work in its group. */
export interface GroupService {
    /** RPC methods that other slots and operators call. */
    methods: RpcMethods;
    /** Sets the configuration in force, which describes the groups. */
    setDocument: (document: ConfigDocument | undefined) => void;
    setInstances: (instances: InstanceRecord[]) => void;
    close: () => void;
}

/** Starts the slot's work in its group; undefined for a slot without a group, or without a URL for engine orders. */
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
    const driver = startSwitchDriver({ identity: settings, instance, group, ordersUrl, log, logger, audit });
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
