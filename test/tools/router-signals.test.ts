/** Guards against signals that end `jackdawwood-router` before its requests have finished. */
import {execFileSync} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {freeAddresses} from '../../tools/fleet/free-ports.js';
import {MemberProcess} from '../../tools/fleet/member-process.js';
import {startFleet} from '../../tools/fleet/start-fleet.js';
import {catchesHangup} from '../memory/_router-process.js';
import {until} from '../platform/_platform.js';
import {assertClean, runLoadOn, smallFleet} from './_fleet-run.js';

const signals = ['SIGHUP', 'SIGTERM', 'SIGINT'] as const;
const GAP_MS = 20;

/** Sends all signals in turn until the process has ended. */
const repeatSignals = async (member: MemberProcess): Promise<void> => {
	for (let index = 0; !member.hasEnded; index++) {
		member.signal(signals[index % signals.length] ?? 'SIGTERM');
		await delay(GAP_MS); // eslint-disable-line no-await-in-loop
	}
};

test.serial('a router that gets signals while it serves and while it stops finishes its requests', async t => {
	const fleet = await startFleet(smallFleet);
	t.teardown(async () => fleet.close());
	const router = fleet.process('colombo-vm-1');
	const result = await runLoadOn(fleet, {
		async during(answered) {
			await answered(20);
			router.signal('SIGHUP');
			await answered(40);
			t.false(router.hasEnded);
			const stopped = fleet.stop('colombo-vm-1');
			await repeatSignals(router);
			t.is(await stopped, 0);
		},
	});
	assertClean(t, result);
	t.is(result.total.answered, result.total.asked);
});

test.serial('a router that gets signals while it starts ends in an orderly way', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'jackdawwood-'));
	const file = path.join(folder, 'router.toml');
	// A pipe holds the process at the reading of its settings.
	execFileSync('mkfifo', [file]);
	const router = new MemberProcess({
		id: 'starts', script: 'dist/src/cli/router.js', settingsFile: file, logFile: path.join(folder, 'log'),
	});
	t.teardown(async () => {
		router.signal('SIGKILL');
		await router.ended();
		await rm(folder, {recursive: true});
	});
	await until(t, () => catchesHangup(router.pid), 'the listeners stand');
	for (const signal of [...signals, ...signals]) {
		router.signal(signal);
		await delay(GAP_MS); // eslint-disable-line no-await-in-loop
	}

	t.false(router.hasEnded);
	const [callers = '', control = '', admin = '', platform = ''] = await freeAddresses(4);
	await writeFile(file, `[vm]\nid = "starts"\ndata_centre = "dc-a"\n[listen]\ncallers = "${callers}"\ncontrol = "${control}"\nadmin = "${admin}"\n[platform]\naddress = "${platform}"\n`);
	t.is(await router.stop(), 0);
});
