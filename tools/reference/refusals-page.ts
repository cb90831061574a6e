/** Generates the reference page of the refusals of requests from the data of each refusal. */
import * as refusals from '../../src/core/errors/refusals-data.js';
import {type RefusalData} from '../../src/core/errors/refusals-data.js';

const HEADING = `# Refusals

What callers are told when a request is not answered. The body is
\`{"error": {"name", "title", "message", "hint", "not_run", "retry_after_ms", "request_id"}}\`.
\`not_run: true\` means that no target has started the request. Where the same request can
succeed later, \`Retry-After\` says when to come back. This page is generated from the
product's data.

| Name | Status | Not run | Repeat helps | What happened | What to do |
| --- | --- | --- | --- | --- | --- |
`;

const allRefusals: readonly RefusalData[] = Object.values(refusals);

const yesNo = (value: boolean): string => value ? 'yes' : 'no';

const row = ({name, status, notRun, retryable, title, hint}: RefusalData): string =>
	`| \`${name}\` | ${status} | ${yesNo(notRun)} | ${yesNo(retryable)} | ${title} | ${hint} |`;

/** Returns the page as Markdown. */
export const refusalsPage = (): string => `${HEADING}${allRefusals.map(refusal => row(refusal)).join('\n')}\n`;
