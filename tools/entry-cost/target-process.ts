/** Runs a model engine and a ledger in a process of their own and sends their addresses to the parent process. */
import process from 'node:process';
import {startEngine} from '../../standins/engine/engine.js';
import {engineSettingsSchema} from '../../standins/engine/settings.js';
import {startLedger} from '../../standins/ledger/ledger.js';
import {ledgerSettingsSchema} from '../../standins/ledger/settings.js';

const MAX_RUNNING = 10_000;
const stepMs = Number(process.argv[2] ?? 40);

const engine = await startEngine(engineSettingsSchema.parse({
	stepMs, stepGrowth: 0, promptTokenMs: 0, warmAfter: 0, maxRunning: MAX_RUNNING,
}));
const ledger = await startLedger(ledgerSettingsSchema.parse({serviceMs: 0, warmAfter: 0, maxRunning: MAX_RUNNING}));
process.send?.({engine: engine.address, ledger: ledger.address});
process.once('disconnect', () => {
	process.exit(0);
});
