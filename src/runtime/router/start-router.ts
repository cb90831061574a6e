/** Starts and connects all parts of one VM's router, so that a program can run a router in its own process. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Row} from '../../core/language/evaluate-query.js';
import {memberOf, tableNames} from '../../core/language/names.js';
import {type TableName} from '../../core/language/types.js';
import {type Settings} from '../../core/settings/schema.js';
import {startAdmin} from '../admin/start-admin.js';
import {type Admin} from '../admin/types.js';
import {createTableClaims} from '../claims/table-claims.js';
import {type TableClaims} from '../claims/types.js';
import {type DispatchTask} from '../dispatch/types.js';
import {startEntry} from '../entry/start-entry.js';
import {type Entry} from '../entry/types.js';
import {secureContextOptions} from '../link/tls-keys.js';
import {createRequestRegister, type RequestRegister} from '../observe/request-register.js';
import {readFleetTable} from './fleet-tables.js';
import {setGauges} from './gauges.js';
import {loadVmKeys, type VmKeys} from './load-keys.js';
import {parseAddress} from './parse-address.js';
import {readVersion} from './read-version.js';
import {createVmBase, type VmBase} from './vm-base.js';
import {startVmState, type VmState} from './vm-state.js';
import {vmRows} from './vm-tables.js';

/** Milliseconds for which a leaving VM still accepts requests, until the load balancer has noticed that it is not ready. */
const LEAVE_NOTICE_MS = 1500;
const DRAIN_CHECK_MS = 20;
/** Milliseconds between updates of the metrics gauges. */
const GAUGES_MS = 500;

export type Router = {
	/** Stops the router gracefully. Resolves once every request has ended and all tasks have stopped. */
	readonly stop: () => Promise<void>;
};

type ReadRows = (table: TableName) => readonly Row[];

const startCallersEntry = async (base: VmBase, state: VmState, keys: VmKeys, {register, claims}: {readonly register: RequestRegister; readonly claims: TableClaims}): Promise<Entry> => {
	const {settings: {listen, limits}, clock, random, metrics, log} = base;
	const entry = await startEntry({
		config: () => state.config.current(),
		scheduler: state.dispatch.scheduler,
		clock, random, metrics, register, log, claims, limits,
		listen: parseAddress(listen.callers),
		...(keys.callers && {tls: secureContextOptions(keys.callers.current())}),
	});
	keys.callers?.onChange(changed => {
		entry.reloadTls(secureContextOptions(changed));
	});
	return entry;
};

const startOperatorsAdmin = async ({settings, metrics, log}: VmBase, state: VmState, isReady: () => boolean, ownRows: ReadRows): Promise<Admin> => startAdmin({
	address: settings.listen.admin,
	bootstrapFromLoopback: settings.admin.bootstrapFromLoopback,
	registry: metrics.registry,
	log,
	isReady,
	currentConfig: () => state.config.current(),
	readTable: async table => readFleetTable(table, {...state, ownRows}),
	readVersion: async version => readVersion(state.platform, version),
	proposeConfig: async proposal => state.config.propose(proposal),
});

/** Resolves when no request is queued or running any more. */
const waitUntilDrained = async (dispatch: DispatchTask): Promise<void> => {
	for (let open = dispatch.open(); open.queued + open.running > 0; open = dispatch.open()) {
		// eslint-disable-next-line no-await-in-loop
		await delay(DRAIN_CHECK_MS);
	}
};

/** Starts all tasks of a VM. The VM is ready once it has a configuration and knows the dispatcher of every service in its data centre. */
export const startRouter = async (settings: Settings): Promise<Router> => {
	const base = createVmBase(settings);
	const {vm, dataCentre, incarnation, clock, random, log, metrics} = base;
	const startedMs = clock.nowMs();
	const register = createRequestRegister(vm);
	const keys = await loadVmKeys(settings.tls, log);
	const state = await startVmState(base, keys, table => JSON.stringify(ownRows(memberOf(tableNames, table))));
	const {platform, links, membership, config, leases, dispatch, services} = state;

	let isLeaving = false;
	const isReady = () => !isLeaving && config.isReady()
		&& services().every(service => leases.holderOf(service, dataCentre) !== undefined);
	const ownRows: ReadRows = table => vmRows(table, {
		vm, dataCentre, incarnation, dispatch, leases, membership, isReady,
		config: () => config.current(),
		uptimeMs: () => clock.nowMs() - startedMs,
		controlBytes: () => links.stats().bytesSent + links.stats().bytesReceived,
		refusals: () => register.refusalRows(),
		requests: () => register.requestRows(clock.nowMs()),
	});

	const claims = createTableClaims({
		platform, clock, random, metrics, wallMs: Date.now,
	});
	const entry = await startCallersEntry(base, state, keys, {register, claims});
	const admin = await startOperatorsAdmin(base, state, isReady, ownRows);
	const gauges = setInterval(() => {
		setGauges(metrics, state);
	}, GAUGES_MS);
	log.info('started', {incarnation, callers: entry.address, control: links.address});

	return {
		async stop() {
			isLeaving = true;
			log.info('leaving');
			membership.leave();
			leases.leave();
			dispatch.leave();
			entry.leave();
			await delay(LEAVE_NOTICE_MS);
			await entry.close();
			await waitUntilDrained(dispatch);
			await claims.close();
			clearInterval(gauges);
			await admin.close();
			await state.stop();
			keys.close();
			log.info('stopped');
		},
	};
};
