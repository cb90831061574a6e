import test from 'ava';
import fc from 'fast-check';
import {faultText} from '../../src/core/settings/fault-text.js';
import {parseSettings} from '../../src/core/settings/parse-settings.js';

const MINIMAL = `
[vm]
id = "fra-1"
data_centre = "fra"

[platform]
address = "127.0.0.1:9000"
`;

const WRONG = `# every kind of fault
[vm]
id = "FRA 1"

[listen]
callers = "localhost:80"
contol = "127.0.0.1:1"
admin = "127.0.0.1:70000"

[platform]
address = 9000

[[peers.seeds]]
vm = "ams-1"
data_centre = "ams"
control = "here"

[tls.control]
enabled = true
cert = "cert.pem"

[log]
level = "loud"

[control]
heartbeat_ms = 500
heartbeat_timeout_ms = 400
tick_ms = 2.5

[lmits]
body_bytes = 1
`;

test('defaults fill in what a minimal file leaves out', t => {
	t.snapshot(parseSettings(MINIMAL, 'router.toml').settings);
});

test('every fault of a file is reported at once, with line, value, what is allowed and a hint', t => {
	const {faults = []} = parseSettings(WRONG, 'router.toml');
	t.snapshot(faults.map(fault => faultText(fault)).join('\n'));
});

test('a fault of syntax names line and column', t => {
	const {faults = []} = parseSettings('[vm]\nid = fra\n', 'router.toml');
	t.snapshot(faults.map(fault => faultText(fault)).join('\n'));
});

test('any text results in settings, or in faults whose line is inside the text', t => {
	const line = fc.constantFrom('[vm]', 'id = "a"', 'id = 3', '[listen]', '[a.b]', '[[peers.seeds]]', 'x = {y = 1}', '__proto__ = 1', '= 1', '[platform]', 'address = "1.1.1.1:1"');
	const text = fc.oneof(fc.string({unit: 'binary'}), fc.array(fc.oneof(line, fc.string()), {maxLength: 12}).map(lines => lines.join('\n')));
	t.notThrows(() => {
		fc.assert(fc.property(text, sample => {
			const {settings, faults} = parseSettings(sample, 'f');
			const lineCount = sample.split('\n').length;
			return settings !== undefined || (faults.length > 0 && faults.every(fault => fault.line >= 1 && fault.line <= lineCount));
		}), {seed: 20, numRuns: 2000});
	});
});

test('bounds that are not integers are valid settings', t => {
	const bounds = {
		cold_factor: 1.5, cold_slack: 2.5, retry_ratio: 0.2, retry_window_s: 9.5, retry_slack: 35.833_333_333_333_336, grace_s: 7.5, drain_ms: 1999.5, heartbeat_ms: 1200.25,
	};
	const text = Object.entries(bounds).map(([name, value]) => `${name} = ${value}`).join('\n');
	const {settings, faults} = parseSettings(`${MINIMAL}\n[bounds]\n${text}\n`, 'router.toml');
	t.is(faults, undefined);
	t.is(settings?.bounds.retrySlack, bounds.retry_slack);
});
