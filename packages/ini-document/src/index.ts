/** INI text checked against a schema, with every fault named. */
export {checkSection, readSections} from './ini_document';
export type {SectionCheck, Sections} from './ini_document';
export {formatFaults} from './fault';
export type {Fault} from './fault';
export * as fields from './fields';
