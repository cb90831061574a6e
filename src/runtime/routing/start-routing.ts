/** Starts the routing path of one VM: servers for callers, placement, calls to targets, readiness and metrics. */
import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import polka from 'polka';
import {createCostEstimator} from '../../core/admission/cost-estimator.js';
import {createAdmissionControl} from '../../core/admission/admission-control.js';
import {createDeparture} from '../../core/attempt/departure.js';
import {createRecentSends} from '../../core/attempt/recent-sends.js';
import {createLoadShedder} from '../../core/admission/load-shedder.js';
import {createRefusalSummary} from '../../core/admission/refusal-summary.js';
import {createRotation} from '../../core/admission/rotation.js';
import {createPauseDetector} from '../../core/pause-detector.js';
import {memoryBounds} from '../../core/memory/held-memory.js';
import {createTeamLimiter} from '../../core/admission/team-limiter.js';
import {type Clock} from '../../core/clock.js';
import {createRetryShare} from '../../core/placement/retry-share.js';
import {noClaims} from '../claims/no-claims.js';
import {type AttemptContext} from '../entry/attempt-context.js';
import {canSharePort, listen} from '../entry/listen.js';
import {createServerStop} from '../entry/server-stop.js';
import {createTargetPools} from '../entry/target-pools.js';
import {type Log} from '../observe/log.js';
import {cpuMs, idleMs, startLoopDelay} from '../observe/loop-delay.js';
import {createInputAge} from '../observe/input-age.js';
import {createTrafficReport, sizeLabel} from '../observe/traffic-report.js';
import {createIngressReport} from '../observe/ingress-report.js';
import {createMemoryAccounts, type MemoryAccounts} from '../memory/memory-accounts.js';
import {createYoungCollector} from '../memory/young-collector.js';
import {type Metrics} from '../observe/metrics.js';
import {FleetLoads} from '../../core/placement/fleet-loads.js';
import {createRolloutTask, scheduleByTimer, type RolloutTask} from '../rollout/rollout-task.js';
import {createConnectionLimits, parserBytes} from './caller-limits.js';
import {createFleetView} from './fleet-view.js';
import {startLoadExchange, type LoadExchange} from './load-exchange.js';
import {createPlacementScheduler, type PlacementScheduler} from './placement-scheduler.js';
import {createQuarantineTask} from './quarantine-task.js';
import {createRelayCalls} from './relay-call.js';
import {serveRequest, type ServeContext} from './serve-request.js';
import {
	type CallerWire, type FleetSource, type RoutingBounds, type RoutingLimits, type TargetWire,
} from './types.js';

/** Milliseconds for which a leaving VM still accepts new connections: the load balancer needs two health checks, a second apart, to notice. */
const LEAVE_NOTICE_MS = 2500;
/** Milliseconds of the grace period that are reserved for the exit of the process. */
const END_MARGIN_MS = 500;
/** Milliseconds of that margin for writing the refusals of requests that the end of the grace period ends. */
const LAST_WRITES_MS = 150;
/** Milliseconds between checks of the server for requests that arrive too slowly. */
const SLOW_CHECK_MS = 500;
/** Number of listeners on the callers' address: Node accepts one connection per listener in a turn of its event loop. */
const CALLERS_LISTENERS = 8;
/**
 * Most connections of callers in the accept queues of all listeners together. Callers wait a
 * second at most, so a longer queue would only add connections that their callers close before
 * they are accepted.
 */
const CALLERS_BACKLOG = 88;
/** Most connections in the accept queue of a single listener. On a small, overloaded VM it accepts some 200 connections a second. */
const SINGLE_BACKLOG = 64;
/** Share of a target's connections that all VMs together use. */
const CONNECTION_SHARE = 0.9;
/** Time limit for connecting to a target, in milliseconds. A lost opening packet is sent again only after a second or more, while a connection to another target opens within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
/** Most connections to a target of an unknown service. */
const DEFAULT_CONNECTIONS = 32;

type Address = {readonly host: string; readonly port: number};

export type RoutingOptions = {
	readonly vm: string;
	readonly dataCentre: string;
	/** Id of this process instance; differs after each restart. */
	readonly incarnation: string;
	/** Address at which this VM receives datagrams of the other VMs. */
	readonly exchange: Address;
	/** Returns the addresses at which the other VMs receive datagrams. */
	readonly peers: () => readonly Address[];
	/** Returns the address at which one VM receives datagrams. */
	readonly peerOf: (vm: string) => Address | undefined;
	/** Called with a VM that sent a datagram and has no known address. */
	readonly onUnknownVm: (vm: string) => void;
	readonly callers: Address;
	readonly ready: Address & {readonly path: string};
	readonly metricsAddress: Address;
	readonly limits: RoutingLimits;
	readonly bounds: RoutingBounds;
	readonly callerWire: CallerWire;
	readonly targetWire: TargetWire;
	readonly source: FleetSource;
	readonly vms: () => readonly string[];
	readonly clock: Clock;
	readonly random: () => number;
	readonly metrics: Metrics;
	readonly log: Log;
};

export type Routing = {
	/** Stops gracefully within the grace period. */
	readonly stop: () => Promise<void>;
};

const createCallersServer = ({limits}: RoutingOptions): http.Server => http.createServer({
	maxHeaderSize: parserBytes(limits),
	headersTimeout: limits.readTimeoutMs,
	requestTimeout: limits.readTimeoutMs * 2,
	connectionsCheckingInterval: SLOW_CHECK_MS,
	noDelay: true,
});

/** Binds all servers to the callers' address; resolves to the bound `host:port`. */
const listenForCallers = async (servers: readonly http.Server[], {host, port}: Address): Promise<string> => {
	const [first, ...others] = servers;
	if (!first || others.length === 0) {
		return first ? listen(first, {host, port, backlog: SINGLE_BACKLOG}) : `${host}:${port}`;
	}

	const shared = {host, backlog: Math.ceil(CALLERS_BACKLOG / servers.length), reusePort: true};
	const address = await listen(first, {...shared, port});
	const boundPort = Number(address.slice(address.lastIndexOf(':') + 1));
	await Promise.all(others.map(async server => listen(server, {...shared, port: boundPort})));
	return address;
};

type Status = {readonly isReady: () => boolean; readonly loads: FleetLoads; readonly memoryAccounts: MemoryAccounts; readonly queuedByTier: PlacementScheduler['queuedByTier']};

const startStatus = async ({ready, metricsAddress, metrics, source}: RoutingOptions, {isReady, loads, memoryAccounts, queuedByTier}: Status): Promise<readonly http.Server[]> => {
	const readyServer = http.createServer();
	const metricsServer = http.createServer();
	readyServer.on('request', polka({server: readyServer})
		.get(ready.path, (_req, res) => {
			res.writeHead(isReady() ? 200 : 503, {'content-length': '0'}).end();
		})
		.handler);
	metricsServer.on('request', polka({server: metricsServer})
		.get('/metrics', async (_req, res) => {
			metrics.reportingVms.set(loads.reportingVms);
			for (const [part, bytes] of Object.entries(memoryAccounts.totals())) {
				metrics.heldBytes.set({part}, bytes);
			}

			for (const [service, tiers] of queuedByTier()) {
				metrics.queueWaiting.set({service, tier: 'in-time'}, tiers['in-time']);
				metrics.queueWaiting.set({service, tier: 'late'}, tiers.late);
			}

			metrics.fleetUpdateAge.set(source.responseAgeMs() / 1000);
			res.writeHead(200, {'content-type': metrics.registry.contentType}).end(await metrics.registry.metrics());
		})
		.handler);
	await Promise.all([listen(readyServer, ready), listen(metricsServer, metricsAddress)]);
	return [readyServer, metricsServer];
};

/** Starts the routing path. The VM is ready once it has a configuration and a list of targets. */
export const startRouting = async (options: RoutingOptions): Promise<Routing> => {
	const {
		vm, dataCentre, incarnation, bounds, callerWire, targetWire, source, vms, clock, random, metrics, log, limits,
	} = options;
	const view = createFleetView(log);
	const loads = new FleetLoads();
	const departure = createDeparture();
	const inputAge = createInputAge(clock, ageMs => {
		metrics.staleInput.observe(ageMs / 1000);
	});
	const collectYoung = createYoungCollector();
	const onRead = (bytes: number): void => {
		inputAge.noteInput();
		collectYoung(bytes);
	};

	const memoryAccounts = createMemoryAccounts({
		bounds: memoryBounds(limits.memoryMb), clock, log, metrics, onRead,
	});
	/** The exchange, set once it has started. The scheduler and the roll-out task below send messages through it, and it needs both of them to start. */
	const exchangeRef: {current?: LoadExchange} = {};
	const loadShedder = createLoadShedder({behindMs: limits.behindMs, random});
	let openRequests = 0;
	const admissionControl = createAdmissionControl({
		processorShare: limits.processorShare, processors: limits.processors ?? 1, usedMs: cpuMs, idleMs, open: () => openRequests,
	});
	const rotation = createRotation();
	const refusals = createRefusalSummary();
	const ingressReport = createIngressReport({
		log, metrics, admissionControl, refusals,
	});
	const trafficReport = createTrafficReport({log, metrics});
	const pauseDetector = createPauseDetector(clock.nowMs());
	const isCurrent = (): boolean => {
		if (pauseDetector.hasJustPaused(clock.nowMs())) {
			source.onResumed();
		}

		return source.isCurrent();
	};

	const rollout: RolloutTask | undefined = bounds.exposure && source.rollouts
		? createRolloutTask({
			vm, incarnation, vms, bounds: bounds.exposure, store: source.rollouts, clock, schedule: scheduleByTimer, wallMs: () => Date.now(), log, metrics, targets: view.targets,
			isUsable: target => !target.isDraining && !view.isDataCentreOut(target.dataCentre),
			sendToPeer(peer, message) {
				exchangeRef.current?.sendRolloutMessage(peer, message);
			},
			onVersionSplit(service) {
				scheduler.onVersionSplit(service);
			},
		})
		: undefined;
	const scheduler = createPlacementScheduler({
		vm, dataCentre, bounds, clock, view, vms, log, loads, random, isCurrent, storeAgeMs: source.responseAgeMs, ...(rollout && {rollout}),
		isVmOverloaded: () => loadShedder.refusedShare() > 0,
		countOutcome(labels) {
			metrics.queueOutcomes.inc(labels);
		},
		countPrompt({service, route, promptTokens, outcome, attempts}) {
			const labels = {service, route, tokens: sizeLabel(promptTokens)};
			metrics.promptOutcomes.inc({...labels, outcome});
			metrics.reservationAttempts.inc(labels, attempts);
		},
		sendToPeer(peer, service, message) {
			exchangeRef.current?.sendPeerMessage(peer, service, message);
		},
	});
	const quarantine = createQuarantineTask({
		vm, vms, clock, log, metrics, targets: view.targets, store: source.verdicts,
		isLeaving: target => scheduler.leavingTargets().some(leaving => leaving.target === target),
		send(to) {
			exchangeRef.current?.sendQuarantine(to);
		},
	});
	const gate = quarantine.gate(scheduler);
	const loopDelay = startLoopDelay({
		clock, log, metrics, reportingVms: () => loads.reportingVms,
		onCheck(delayMs) {
			const nowMs = clock.nowMs();
			isCurrent();
			loadShedder.recordLoopDelay(delayMs);
			admissionControl.tick(nowMs);
			rotation.update(admissionControl.refusedShare(), nowMs);
			metrics.shedShare.set(loadShedder.refusedShare());
			ingressReport.update(nowMs);
			trafficReport.update(nowMs);
		},
		refusedShare: loadShedder.refusedShare,
	});
	const exchange = await startLoadExchange({
		vm, incarnation, listen: options.exchange, clock, log, loads,
		peers: options.peers, peerOf: options.peerOf, onUnknownVm: options.onUnknownVm, onPeerMessage: scheduler.onPeerMessage, targets: scheduler.targetLoads, teams: scheduler.teamLoads,
		takeSentPrompts: scheduler.takeSentPrompts, onSentPrompts: scheduler.onSentPrompts,
		takeObserved: scheduler.takeObserved, onObserved: scheduler.onObserved,
		freshness: source.freshness, onFreshness: source.onFreshness,
		leavingTargets: scheduler.leavingTargets, onLeavingTargets: scheduler.onLeavingTargets,
		quarantine: quarantine.report, onQuarantine: quarantine.onReport,
		onDatagram: inputAge.noteInput,
		onSent: trafficReport.noteSent,
		onFault(direction) {
			metrics.exchangeFaults.inc({direction});
		},
		...(rollout && {rollouts: () => ({announcements: rollout.announcements()}), onRollouts: rollout.onMessage}),
	});
	exchangeRef.current = exchange;
	const serviceAt = (address: string) => [...view.targets().values()].find(target => target.address === address)?.service;
	const pools = createTargetPools(address => serviceAt(address) !== undefined, {
		connections(address) {
			const service = view.activeConfig()?.config.services.get(serviceAt(address) ?? '');
			return service ? Math.max(2, Math.floor(service.maxConnections * CONNECTION_SHARE / vms().length)) : DEFAULT_CONNECTIONS;
		},
		connectTimeoutMs: CONNECT_TIMEOUT_MS,
		onUnreachable(address) {
			scheduler.onUnreachable(address);
			quarantine.onUnreachable(address);
		},
	});
	const attempts: AttemptContext = {
		config: () => undefined,
		scheduler: gate,
		clock,
		random,
		metrics,
		log,
		limits,
		claims: noClaims,
		pools,
		teamLimiter: createTeamLimiter(),
		retryBudget: createRetryShare(bounds, () => vms().length),
		estimator: createCostEstimator(),
		inputAge,
		departure,
		createCalls: createRelayCalls({
			wire: targetWire, pool: address => pools.get(address), freshPool: pools.fresh, recentSends: createRecentSends(), clock, log, observe: scheduler.observe, onRead,
			onTraffic(target, direction, bytes) {
				trafficReport.noteTarget({direction, bytes, isOtherDataCentre: view.targets().get(target)?.dataCentre !== dataCentre});
			},
			lossWatch: scheduler.lossWatch, promptWatch: quarantine, inputAge,
		}),
	};
	const ctx: ServeContext = {
		view, wire: callerWire, attempts, random, admissionControl, loadShedder, refusals, memoryAccounts, hasUnreadInput: loopDelay.isLate,
	};
	const servers = Array.from({length: canSharePort() ? CALLERS_LISTENERS : 1}, () => createCallersServer(options));
	const serverStops = servers.map(server => createServerStop(server, limits.readTimeoutMs));
	const connectionLimits = createConnectionLimits(servers, limits);
	let isLeaving = false;
	let wasReady = false;
	const serve = async (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> => {
		openRequests++;
		await serveRequest(req, res, ctx);
		openRequests--;
	};

	for (const server of servers) {
		server.on('connection', inputAge.noteInput);
		server.on('request', (req, res) => {
			inputAge.noteInput();
			connectionLimits.onRequest(req, res);
			void serve(req, res);
		});
	}

	const isOverloaded = () => admissionControl.hasBudget ? rotation.isOutOfRotation() || admissionControl.isOverloaded() : loadShedder.isOverloaded();
	const isReady = () => !isLeaving && view.isComplete() && isCurrent() && rollout?.isReady() !== false && quarantine.isReady() && !isOverloaded();
	const statusServers = await startStatus(options, {
		isReady, loads, memoryAccounts, queuedByTier: scheduler.queuedByTier,
	});
	const address = await listenForCallers(servers, options.callers);
	log.info('started', {vm, data_centre: dataCentre, callers: address});
	quarantine.start();
	source.start(update => {
		for (const change of view.apply(update)) {
			if (change.kind === 'rollout-order') {
				rollout?.onOrder(change.service, change.row);
			}

			if (change.kind === 'target') {
				rollout?.onTarget(change.target);
			}

			scheduler.onFleetUpdate(change);
			quarantine.onFleetUpdate(change);
			if (change.kind === 'config') {
				metrics.configVersion.set(change.config.version);
				connectionLimits.apply(change.config.limits);
			}
		}

		if (update.kind === 'all-targets') {
			rollout?.onTargetsRead();
		}

		metrics.targetsKnown.set(view.targets().size);
		if (!wasReady && isReady()) {
			wasReady = true;
			log.info('ready', {config_version: view.activeConfig()?.config.version, targets: view.targets().size});
		}
	});

	const stop = async (): Promise<void> => {
		isLeaving = true;
		log.info('leaving', {grace_ms: bounds.graceMs});
		for (const serverStop of serverStops) {
			serverStop.leave();
		}

		const endByMs = clock.nowMs() + bounds.graceMs - END_MARGIN_MS;
		departure.begin(endByMs);
		await delay(Math.min(LEAVE_NOTICE_MS, bounds.graceMs / 2));
		departure.endNotice();
		const allEnded = Promise.all(serverStops.map(async serverStop => serverStop.stop()));
		await Promise.race([allEnded, delay(Math.max(0, endByMs - clock.nowMs()))]);
		departure.endGrace();
		await Promise.race([allEnded, delay(LAST_WRITES_MS)]);
		ingressReport.flush(clock.nowMs());
		trafficReport.flush();
		log.info('stopped');
		await source.stop();
		rollout?.stop();
		scheduler.stop();
		quarantine.stop();
		loopDelay.stop();
		memoryAccounts.stop();
		exchange.close();
		await pools.close();
		for (const statusServer of statusServers) {
			statusServer.close();
		}
	};

	let stopped: Promise<void> | undefined;
	return {
		async stop() {
			stopped ??= stop();
			return stopped;
		},
	};
};
