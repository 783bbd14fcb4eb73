/** Parses INI text and validates it against a schema; reports every issue. */
export {parseSections, validateSection} from './ini_document';
export type {SectionResult, Sections} from './ini_document';
export {formatIssues} from './fault';
export type {ValidationIssue} from './fault';
export * as fields from './fields';
