import { defineConfig } from "vitest/config";

/** Tests that measure memory and descriptors of processes; they run one after the other, behind all others. */
const exclusiveTests = ["platform/tests/misbehavingClients.test.ts", "tests/integration/misbehavingClients.test.ts"];

export default defineConfig({
    test: {
        setupFiles: ["tests/yieldAfterEach.ts"],
        testTimeout: 60_000,
        hookTimeout: 60_000,
        maxWorkers: 6,
        projects: [
            {
                extends: true,
                test: {
                    name: "parallel",
                    include: ["src/**/tests/*.test.ts", "platform/tests/*.test.ts", "tests/**/*.test.ts"],
                    exclude: ["node_modules/**", ...exclusiveTests],
                    sequence: { groupOrder: 0 },
                },
            },
            {
                extends: true,
                test: {
                    name: "exclusive",
                    include: exclusiveTests,
                    fileParallelism: false,
                    maxWorkers: 1,
                    minWorkers: 1,
                    sequence: { groupOrder: 1 },
                },
            },
        ],
    },
});
