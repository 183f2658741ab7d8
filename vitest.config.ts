import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["src/**/tests/*.test.ts", "platform/tests/*.test.ts", "tests/**/*.test.ts"],
        setupFiles: ["tests/yieldAfterEach.ts"],
        testTimeout: 60_000,
        hookTimeout: 60_000,
        maxWorkers: 6,
    },
});
