import test from 'ava';
import {createMetrics} from '../../src/runtime/observe/metrics.js';
import {createTrafficReport, sizeLabel} from '../../src/runtime/observe/traffic-report.js';
import {silentLog, type LogFields} from '../../src/runtime/observe/log.js';

test('traffic is counted by kind and data centre, and logged once in five seconds', async t => {
	const lines: Array<LogFields | undefined> = [];
	const metrics = createMetrics();
	const report = createTrafficReport({
		log: {
			...silentLog, info(_, fields) {
				lines.push(fields);
			},
		}, metrics,
	});
	report.update(0);
	report.noteSent('report', 1, 900);
	report.noteSent('reservation', 3, 240);
	report.noteTarget({direction: 'to', isOtherDataCentre: true, bytes: 12_000});
	report.noteTarget({direction: 'from', isOtherDataCentre: false, bytes: 700});
	report.update(4999);
	t.deepEqual(lines, []);
	report.update(5000);
	report.update(10_000);
	report.flush();
	t.snapshot(lines);
	t.snapshot(await Promise.all([metrics.peerBytes, metrics.peerMessages, metrics.targetBytes].map(async counter => {
		const {values} = await counter.get();
		return values.map(({value, labels}) => ({value, ...labels}));
	})));
});

test('prompts are counted by sizes that are few', t => {
	t.deepEqual([1, 1000, 1001, 6610, 22_000].map(tokens => sizeLabel(tokens)), ['1000', '1000', '2000', '8000', 'more']);
});
