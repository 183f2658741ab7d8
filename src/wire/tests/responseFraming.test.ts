import { expect, test } from "vitest";
import { classifyFraming, type ParsedHeaders } from "../responseFraming.js";

test.each<[string, string, number, ParsedHeaders, string]>([
    ["a length", "GET", 200, { "content-length": "5" }, "length"],
    ["chunks", "GET", 200, { "transfer-encoding": "Chunked" }, "chunked"],
    ["chunks and a length", "GET", 200, { "transfer-encoding": "chunked", "content-length": "5" }, "chunked"],
    ["a coding before chunks", "GET", 200, { "transfer-encoding": "gzip, chunked" }, "chunked"],
    ["another coding only", "GET", 200, { "transfer-encoding": "gzip" }, "connection"],
    ["neither", "POST", 200, {}, "connection"],
    ["neither after HEAD", "HEAD", 200, {}, "none"],
    ["a length after HEAD", "HEAD", 200, { "content-length": "5" }, "none"],
    ["status 204", "POST", 204, {}, "none"],
    ["status 304", "GET", 304, { "content-length": "5" }, "none"],
])("classifies the framing of a response with %s", (title, method, status, headers, expected) => {
    expect(classifyFraming(method, status, headers)).toBe(expected);
});
