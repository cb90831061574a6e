import * as z from 'zod';

/** Settings of the platform stand-in. */
export const platformSettingsSchema = z.strictObject({
	port: z.number().int().min(0).max(65_535).default(0),
	/** Age of the list that `GET /vms` returns, in milliseconds. */
	vmLagMs: z.number().nonnegative().default(1000),
	readsPerS: z.number().positive().default(2000),
	writesPerS: z.number().positive().default(300),
});

export type PlatformSettings = Readonly<z.output<typeof platformSettingsSchema>>;

const vmSchema = z.object({
	id: z.string(),
	dataCentre: z.string(),
	control: z.string(),
	admin: z.string(),
	state: z.enum(['live', 'leaving']).default('live'),
	startedMs: z.number(),
});

/** An entry in the list of VMs. */
export type Vm = Readonly<z.output<typeof vmSchema>>;

const viewSchema = z.object({
	name: z.string(),
	/** Control addresses that this view returns instead of the VMs' own. */
	controls: z.array(z.object({vm: z.string(), control: z.string()})),
});

/**
 * A further address of the platform whose list of VMs has other control addresses, for
 * example those of a fault proxy between the reader and each VM.
 */
export type View = Readonly<z.output<typeof viewSchema>>;

/** Body of the platform's `POST /control`; each field changes one thing. */
export const platformControlSchema = z.strictObject({
	/** `refuse` responds with 503; `hang` leaves calls without a response and closes their connections when the outage ends. */
	outage: z.enum(['none', 'refuse', 'hang']),
	/** Delay of each response in milliseconds. */
	slowMs: z.number().nonnegative(),
	/** Number of next writes that take effect but whose connection is reset instead of a response. */
	loseNextAnswers: z.number().int().nonnegative(),
	readsPerS: z.number().positive(),
	writesPerS: z.number().positive(),
	/** VMs to add to the list or to replace in it. */
	putVms: z.array(vmSchema),
	/** Ids of VMs to remove from the list. */
	removeVms: z.array(z.string()),
	/** Views to open; the response returns their addresses. */
	addViews: z.array(viewSchema),
}).partial();

export type PlatformControl = Readonly<z.output<typeof platformControlSchema>>;
