import { readFileSync } from "node:fs";
import tseslint from "typescript-eslint";

const verbs = [...readFileSync(new URL("docs/VERBS.md", import.meta.url), "utf8").matchAll(/`(\w+)`/g)].map(m => m[1]);

// I/O modules that modules with decision logic must not import; they receive the results as arguments instead.
const ioModules = ["node:http", "node:net", "node:fs", "node:dgram", "undici", "bunyan", "prom-client"];

const restrictedSyntax = [
    { selector: "Literal[raw='null']", message: "Use undefined." },
    { selector: "TSEnumDeclaration", message: "Use a constant object." },
];

export default tseslint.config(
    { ignores: ["dist", "node_modules", "target", "journal"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "no-var": "error",
            "prefer-const": "error",
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "no-restricted-syntax": ["error", ...restrictedSyntax],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": ["error", { args: "after-used" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: ["variable", "parameter"], format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "variable", modifiers: ["const", "global"], format: ["camelCase", "PascalCase"] },
                {
                    selector: "function",
                    format: ["camelCase"],
                    custom: { regex: `^(${verbs.join("|")})([A-Z0-9]|$)`, match: true },
                },
            ],
        },
    },
    {
        // The platform's wire names are confined to platform/.
        files: ["src/**/*.ts"],
        rules: {
            "no-restricted-syntax": ["error", ...restrictedSyntax, {
                selector:
                    "Literal[value=/beechdock-(request-deadline|request-priority|tenant|expected|server-|token-usage|prompt|weight|not-exec|length)|keyed\\.(op|servers|status)|log-(read|newest|append)/i]",
                message: "Use the platform's names only in platform/.",
            }],
        },
    },
    {
        files: [
            "src/group/**/*.ts",
            "src/routing/**/*.ts",
            "src/config/**/*.ts",
            "src/peers/**/*.ts",
            "src/core/**/*.ts",
        ],
        ignores: ["**/tests/**", "**/driver*.ts", "**/load*.ts"],
        rules: { "no-restricted-imports": ["error", { paths: ioModules }] },
    },
);
